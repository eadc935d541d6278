// How many requests a backend server may have at a time after it has started or recovered.
#pragma once

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief   A concurrency limit found from a server's answers. Not thread safe; the caller passes in all
/// times. \details Slow start with a threshold: the limit begins at one request and grows by one with each
/// answer in
///          time, which doubles it each round. A failure, a rejection or an answer that is far too late
///          halves it; from then on it grows by one each round. It ends once it has reached the server's
///          slots and as many answers have come in time. It never falls below one, so that an answer is
///          always possible.
class recovery_pace {
 public:
  /// \brief Limits the server from now on.
  /// \param start_delay Time until this node sends its first request. Differs from node to node, so that many
  ///                    nodes do not send their first requests at the same moment.
  void begin(time_point now, duration start_delay) noexcept;
  void end() noexcept { this->active = false; }
  [[nodiscard]] bool is_active() const noexcept { return this->active; }
  /// \brief Returns true if the server may get another request.
  /// \param load Estimated number of requests that all nodes have at the server.
  [[nodiscard]] bool admits(double load, time_point now) const noexcept {
    return !this->active || (now >= this->starts_at && load + 1 <= this->current_limit);
  }
  /// \brief  Records an answer.
  /// \param  slowness Time taken over the time that other servers of the service take for such work now.
  /// \param  took     Bounds how often the limit falls: at most once in the time of one answer.
  /// \return True if the answer ends the recovery.
  bool on_answer(double slowness, int slots, duration took, time_point now) noexcept;
  /// \brief Records a failure or a rejection.
  void on_failure(duration took, time_point now) noexcept;

  /// \brief The number of requests of all nodes that the server may have; meaningless unless active.
  [[nodiscard]] double limit() const noexcept { return this->current_limit; }
  [[nodiscard]] time_point began_at() const noexcept { return this->begin_time; }

 private:
  void reduce(duration took, time_point now) noexcept;

  bool active{false};
  time_point begin_time;
  time_point starts_at;
  // Invariant: at least 1.
  double current_limit{1};
  // Up to here the limit grows with each answer, beyond by one each round.
  double threshold{0};
  // Answers in time since the limit reached the server's slots.
  int answers_at_full_limit{0};
  time_point reduction_allowed_at;
};

}  // namespace zinnia
