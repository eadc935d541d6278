// What a request of a route is expected to take and to answer, learned from earlier ones.
#pragma once

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief What this node knows of whether a server holds an object.
enum class warmth : unsigned char {
  /// The server has answered for the object lately, through this node.
  known,
  /// The server is the object's first home, so that other nodes' requests may have warmed it.
  presumed,
  none,
};

/// \brief   Running averages for one route at one service.
/// \details Two times are kept, as a backend server that holds the object answers several times faster.
class work_estimate {
 public:
  /// \brief Notes the time of a request that found a free slot.
  void record_work_time(warmth expected, double took_ms) noexcept;
  /// \brief What a request is expected to take.
  [[nodiscard]] double expected_ms(warmth expected) const noexcept;
  void record_response_size(double kib) noexcept;

  [[nodiscard]] double warm_ms() const noexcept { return this->warm.value; }
  /// \brief Never below the warm time.
  [[nodiscard]] double cold_ms() const noexcept;
  [[nodiscard]] double response_kib() const noexcept { return this->answer.value; }
  /// \brief The answer's size as it was when it last changed by much; homes of objects depend on it.
  [[nodiscard]] double stable_response_kib() const noexcept { return this->settled; }

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
  // Part of the presumed ones that were warm; at first nobody has warmed anything.
  average presumed_warm{0};
  average answer{4};
  double settled{4};
};

}  // namespace zinnia
