// What a request of a route is expected to take and to answer, learned from earlier ones.
#pragma once

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief   Running averages for one route at one service.
/// \details Two times are kept, as a backend server that holds the object answers several times faster.
class work_estimate {
 public:
  /// \brief Notes the time of a request that found a free slot.
  void note_work(bool was_warm, double took_ms) noexcept;
  void note_answer(double kib) noexcept;

  [[nodiscard]] double warm_ms() const noexcept { return this->warm.value; }
  /// \brief Never below the warm time.
  [[nodiscard]] double cold_ms() const noexcept;
  [[nodiscard]] double answer_kib() const noexcept { return this->answer.value; }

 private:
  /// A mean of the first values that turns into a running average.
  struct average {
    double value;
    int count{0};
    void note(double sample) noexcept;
  };

  // Starting values for the first requests; typical work of a small look-up.
  average warm{60};
  average cold{200};
  average answer{4};
};

}  // namespace zinnia
