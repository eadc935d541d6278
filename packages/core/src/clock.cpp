// Clocks implemented with clock_gettime.
#include "zinnia/core/clock.hpp"

#include <ctime>

namespace zinnia {
namespace impl {
namespace {

constexpr std::int64_t ms_per_second = 1000;
constexpr std::int64_t ns_per_ms = 1'000'000;

[[nodiscard]] std::int64_t read_clock_ms(clockid_t clock_id) noexcept {
  timespec value{};
  clock_gettime(clock_id, &value);
  return value.tv_sec * ms_per_second + value.tv_nsec / ns_per_ms;
}

}  // namespace
}  // namespace impl

time_point boot_clock::now() const noexcept {
  return {impl::read_clock_ms(CLOCK_BOOTTIME)};
}

std::int64_t unix_time_ms() noexcept {
  return impl::read_clock_ms(CLOCK_REALTIME);
}

}  // namespace zinnia
