// Time types in whole milliseconds and the clock that the project uses.
#pragma once

#include <compare>
#include <cstdint>

namespace zinnia {

/// \brief A span of time in milliseconds; may be negative.
struct duration {
  std::int64_t ms{0};

  friend constexpr auto operator<=>(duration, duration) noexcept = default;
  friend constexpr duration operator+(duration a, duration b) noexcept { return {a.ms + b.ms}; }
  friend constexpr duration operator-(duration a, duration b) noexcept { return {a.ms - b.ms}; }
  friend constexpr duration operator*(duration a, std::int64_t factor) noexcept { return {a.ms * factor}; }
};

/// \brief A point in time, in milliseconds since an arbitrary epoch. Comparable only within one process.
struct time_point {
  std::int64_t ms{0};

  friend constexpr auto operator<=>(time_point, time_point) noexcept = default;
  friend constexpr time_point operator+(time_point at, duration by) noexcept { return {at.ms + by.ms}; }
  friend constexpr time_point operator-(time_point at, duration by) noexcept { return {at.ms - by.ms}; }
  friend constexpr duration operator-(time_point a, time_point b) noexcept { return {a.ms - b.ms}; }
};

/// \brief A time point that a process never reaches. Half of the range, so that adding a duration does not
///        overflow.
inline constexpr time_point far_future{INT64_MAX / 2};

/// \brief An interface for the current time, so that tests can control it.
class clock_source {
 public:
  clock_source() = default;
  clock_source(const clock_source&) = delete;
  clock_source& operator=(const clock_source&) = delete;
  clock_source(clock_source&&) = delete;
  clock_source& operator=(clock_source&&) = delete;
  virtual ~clock_source() = default;
  [[nodiscard]] virtual time_point now() const noexcept = 0;
};

/// \brief A monotonic clock that includes the time in which the machine is suspended, so that leases
///        also expire while it is suspended.
class boot_clock final : public clock_source {
 public:
  [[nodiscard]] time_point now() const noexcept override;
};

/// \brief Returns milliseconds since the Unix epoch. Only for records that people read and for planned start
///        times, since this clock can be set back.
[[nodiscard]] std::int64_t unix_time_ms() noexcept;

}  // namespace zinnia
