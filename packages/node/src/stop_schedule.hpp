// The times of a graceful stop: until when a node reads requests, answers them, and ends.
#pragma once

#include <algorithm>

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief   Divides the time from a stop signal until the process is killed.
/// \details Invariant: reading ends at `answer_by` at the latest. `answer_by` is before `end_by`, and in the
///          last sixth of the time: no server at work is given up earlier.
class stop_schedule {
 public:
  /// \param began_in When the stop signal came.
  /// \param limit_in The time from the signal until the process is killed.
  stop_schedule(time_point began_in, duration limit_in) noexcept : began{began_in}, limit{limit_in} {}

  /// \brief The process ends by itself at this time, before it would be killed.
  [[nodiscard]] time_point end_by() const noexcept {
    return this->began + this->limit - this->at_most(max_end_margin, end_margin_percent);
  }
  /// \brief All requests are answered by this time. The rest is for responses to reach their callers.
  [[nodiscard]] time_point answer_by() const noexcept {
    return this->end_by() - this->at_most(max_flush_time, flush_percent);
  }
  /// \brief Until then callers may still send requests here, as they have cached this node's address.
  [[nodiscard]] time_point read_at_least_until() const noexcept {
    return this->began + this->at_most(max_cached_time, cached_percent);
  }
  /// \brief  Returns when to stop reading requests although callers are connected.
  /// \param  longest_timeout Of all routes.
  /// \return The latest time at which a request can begin and be sure to end by `answer_by`, if that is not
  ///         before `read_at_least_until`.
  [[nodiscard]] time_point read_until(duration longest_timeout) const noexcept {
    return std::max(this->answer_by() - longest_timeout, this->read_at_least_until());
  }
  /// \brief The time for the last responses to reach their callers: the round trip of a long link.
  static constexpr duration max_flush_time{200};

 private:
  [[nodiscard]] duration at_most(duration most, std::int64_t percent_of_limit) const noexcept {
    constexpr std::int64_t percent = 100;
    return std::min(most, duration{this->limit.ms * percent_of_limit / percent});
  }

  static constexpr duration max_end_margin{700};
  static constexpr duration max_cached_time{2600};
  static constexpr std::int64_t end_margin_percent = 12;
  static constexpr std::int64_t flush_percent = 4;
  static constexpr std::int64_t cached_percent = 50;

  time_point began;
  duration limit;
};

}  // namespace zinnia
