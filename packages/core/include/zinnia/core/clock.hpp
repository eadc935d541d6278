// The project's one clock: whole milliseconds on a clock that also counts suspension.
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

/// \brief A moment, in milliseconds since an arbitrary start. Comparable only within one process.
struct time_point {
  std::int64_t ms{0};

  friend constexpr auto operator<=>(time_point, time_point) noexcept = default;
  friend constexpr time_point operator+(time_point at, duration by) noexcept { return {at.ms + by.ms}; }
  friend constexpr time_point operator-(time_point at, duration by) noexcept { return {at.ms - by.ms}; }
  friend constexpr duration operator-(time_point a, time_point b) noexcept { return {a.ms - b.ms}; }
};

/// \brief Later than any moment that a process can reach.
inline constexpr time_point far_future{INT64_MAX / 2};

/// \brief   Where time comes from.
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

/// \brief Counts on while the machine is suspended, so that a lease cannot outlive a pause unnoticed.
class boot_clock final : public clock_source {
 public:
  [[nodiscard]] time_point now() const noexcept override;
};

/// \brief Milliseconds since the Unix epoch; only for records read by people and planned start times.
[[nodiscard]] std::int64_t unix_time_ms() noexcept;

}  // namespace zinnia
