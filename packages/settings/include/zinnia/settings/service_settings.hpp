// Settings that services, regions and failure domains inherit and override, with their allowed ranges.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace zinnia {

/// \brief The condition under which a server that is not a home of an object may handle it.
enum class spillover_policy : std::int64_t {
  never = 0,
  /// Allowed while the service has spare capacity and no home can respond in time.
  while_spare = 1,
};

/// \brief How requests return to a backend server that has started or recovered.
enum class recovery_policy : std::int64_t {
  /// All at once.
  off = 0,
  /// As fast as the server's answers show that it keeps up.
  by_answers = 1,
};

/// \brief   The effective values for one service at one location.
/// \details Invariant: each member is within its range in `setting_table()`.
struct service_settings {
  std::int64_t slots_per_upstream{3};
  std::int64_t longest_deadline_ms{30'000};
  std::int64_t queue_limit{64};
  std::int64_t typical_service_ms{20};
  std::int64_t ramp_step_percent{25};
  std::int64_t ramp_interval_ms{10'000};
  std::int64_t lookup_lifetime_ms{2'000};
  std::int64_t own_domain_weight{1};
  std::int64_t own_region_weight{1};
  std::int64_t other_region_weight{1};
  std::int64_t domain_transfer_us_per_kib{2'000};
  std::int64_t region_transfer_us_per_kib{2'000};
  std::int64_t miss_penalty_percent{300};
  std::int64_t homes_per_object{3};
  std::int64_t leave_homes{static_cast<std::int64_t>(spillover_policy::while_spare)};
  std::int64_t remembered_objects{40};
  std::int64_t overcommit_requests{1};
  std::int64_t crash_quarantine_ms{600'000};
  std::int64_t recovery_pace{static_cast<std::int64_t>(recovery_policy::off)};
  std::int64_t robust_slowness{0};

  /// \brief Returns the value of `leave_homes` as a policy.
  [[nodiscard]] spillover_policy spillover() const noexcept {
    return static_cast<spillover_policy>(this->leave_homes);
  }
  /// \brief Returns the value of `recovery_pace` as a policy.
  [[nodiscard]] recovery_policy recovery() const noexcept {
    return static_cast<recovery_policy>(this->recovery_pace);
  }
};

/// \brief Describes a setting: its name in the tree, its member, its inclusive range and names of values.
struct setting_descriptor {
  std::string_view name;
  std::int64_t service_settings::*member;
  std::int64_t min_value;
  std::int64_t max_value;
  /// Names of the values `min_value`, `min_value + 1` and so on; empty for a numeric setting.
  std::span<const std::string_view> value_names{};
};

/// \brief Returns all settings in the order in which the documentation and commands list them.
[[nodiscard]] std::span<const setting_descriptor> setting_table() noexcept;

/// \brief Returns the setting with this name, or null if there is none.
[[nodiscard]] const setting_descriptor* find_setting(std::string_view name) noexcept;

/// \brief Returns a value in the form used in the settings tree: a number or the name of the value.
[[nodiscard]] std::string format_setting(const setting_descriptor& setting, std::int64_t value);

/// \brief The effective values and the tree path that each overridden value comes from.
struct effective_settings {
  service_settings values;
  /// Maps a setting name to a tree path such as "services.crewdesk.regions.klang". Settings without an
  /// override are absent.
  std::map<std::string_view, std::string> origins;
};

}  // namespace zinnia
