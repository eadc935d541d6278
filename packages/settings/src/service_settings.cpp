// The table of all settings with their ranges, and lookups in it.
#include "zinnia/settings/service_settings.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

constexpr std::array<std::string_view, 2> spillover_policy_names{"never", "while-spare"};
constexpr std::array<std::string_view, 2> recovery_policy_names{"off", "by-answers"};
constexpr std::int64_t one_day_ms = 86'400'000;
constexpr std::int64_t one_hour_ms = 3'600'000;
constexpr std::int64_t ten_minutes_ms = 600'000;
constexpr std::int64_t one_second_us = 1'000'000;
constexpr std::int64_t max_weight = 1'000;

using s = service_settings;

constexpr std::array<setting_descriptor, 20> settings{{
    {"slots_per_upstream", &s::slots_per_upstream, 1, 10'000},
    {"longest_deadline_ms", &s::longest_deadline_ms, 100, ten_minutes_ms},
    {"queue_limit", &s::queue_limit, 0, 100'000},
    {"typical_service_ms", &s::typical_service_ms, 1, ten_minutes_ms},
    {"ramp_step_percent", &s::ramp_step_percent, 1, 100},
    {"ramp_interval_ms", &s::ramp_interval_ms, 100, one_hour_ms},
    {"lookup_lifetime_ms", &s::lookup_lifetime_ms, 1'000, ten_minutes_ms},
    {"own_domain_weight", &s::own_domain_weight, 1, max_weight},
    {"own_region_weight", &s::own_region_weight, 1, max_weight},
    {"other_region_weight", &s::other_region_weight, 1, max_weight},
    {"domain_transfer_us_per_kib", &s::domain_transfer_us_per_kib, 0, one_second_us},
    {"region_transfer_us_per_kib", &s::region_transfer_us_per_kib, 0, one_second_us},
    {"miss_penalty_percent", &s::miss_penalty_percent, 0, 1'000},
    {"homes_per_object", &s::homes_per_object, 1, 16},
    {"leave_homes", &s::leave_homes, 0, 1, spillover_policy_names},
    {"remembered_objects", &s::remembered_objects, 0, 100'000},
    {"overcommit_requests", &s::overcommit_requests, 0, 100},
    {"crash_quarantine_ms", &s::crash_quarantine_ms, 0, one_day_ms},
    {"recovery_pace", &s::recovery_pace, 0, 1, recovery_policy_names},
    {"robust_slowness", &s::robust_slowness, 0, 1},
}};

}  // namespace
}  // namespace impl

std::span<const setting_descriptor> setting_table() noexcept {
  return impl::settings;
}

const setting_descriptor* find_setting(std::string_view name) noexcept {
  const auto* const found =
      std::find_if(impl::settings.begin(), impl::settings.end(),
                   [name](const setting_descriptor& setting) { return setting.name == name; });
  return found == impl::settings.end() ? nullptr : found;
}

std::string format_setting(const setting_descriptor& setting, std::int64_t value) {
  if (setting.value_names.empty()) {
    return std::to_string(value);
  }
  return std::string{setting.value_names[static_cast<std::size_t>(value - setting.min_value)]};
}

}  // namespace zinnia
