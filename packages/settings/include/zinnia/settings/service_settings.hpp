// The settings that services, regions and failure domains inherit and override, and their allowed ranges.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace zinnia {

/// \brief Whether objects may be handled elsewhere than at their homes.
enum class spillover_policy : std::int64_t {
  never = 0,
  /// While the service has room to spare and no home can answer in time.
  while_spare = 1,
};

/// \brief   Values in force for one service at one place.
/// \details Every member is within the range that `setting_table()` gives for it.
struct service_settings {
  std::int64_t slots_per_upstream{3};
  std::int64_t longest_deadline_ms{30'000};
  std::int64_t queue_limit{64};
  std::int64_t typical_service_ms{20};
  std::int64_t ramp_step_percent{25};
  std::int64_t ramp_interval_ms{10'000};
  std::int64_t lookup_lifetime_ms{2'000};
  std::int64_t own_domain_weight{16};
  std::int64_t own_region_weight{4};
  std::int64_t other_region_weight{1};
  std::int64_t domain_transfer_us_per_kib{2'000};
  std::int64_t region_transfer_us_per_kib{2'000};
  std::int64_t miss_penalty_percent{300};
  std::int64_t homes_per_object{2};
  std::int64_t leave_homes{static_cast<std::int64_t>(spillover_policy::while_spare)};
  std::int64_t remembered_objects{40};
  std::int64_t overcommit_requests{1};

  [[nodiscard]] spillover_policy spillover() const noexcept {
    return static_cast<spillover_policy>(this->leave_homes);
  }
};

/// \brief One setting: its name in the tree, its member, its range and the words that stand for values.
struct setting_descriptor {
  std::string_view name;
  std::int64_t service_settings::*member;
  std::int64_t min_value;
  std::int64_t max_value;
  /// Words for the values from `min_value` on; empty for plain numbers.
  std::span<const std::string_view> value_names{};
};

/// \brief All settings, in the order in which pages and commands list them.
[[nodiscard]] std::span<const setting_descriptor> setting_table() noexcept;

/// \brief The setting of that name, or null.
[[nodiscard]] const setting_descriptor* find_setting(std::string_view name) noexcept;

/// \brief A setting's value as an operator would write it.
[[nodiscard]] std::string format_setting(const setting_descriptor& setting, std::int64_t value);

/// \brief Values in force and, for each that is not the default, the place in the tree it came from.
struct effective_settings {
  service_settings values;
  /// Setting name to a tree path such as "services.crewdesk.regions.klang".
  std::map<std::string_view, std::string> origins;
};

}  // namespace zinnia
