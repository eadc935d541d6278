// Conversion from the integer settings of the settings tree.
#include "zinnia/routing/placement_settings.hpp"

namespace zinnia {

placement_settings to_placement_settings(const service_settings& values) noexcept {
  constexpr double us_per_ms = 1000;
  constexpr double percent = 100;
  placement_settings chosen;
  chosen.own_domain_weight = static_cast<double>(values.own_domain_weight);
  chosen.own_region_weight = static_cast<double>(values.own_region_weight);
  chosen.other_region_weight = static_cast<double>(values.other_region_weight);
  chosen.domain_transfer_ms_per_kib = static_cast<double>(values.domain_transfer_us_per_kib) / us_per_ms;
  chosen.region_transfer_ms_per_kib = static_cast<double>(values.region_transfer_us_per_kib) / us_per_ms;
  chosen.miss_penalty = static_cast<double>(values.miss_penalty_percent) / percent;
  chosen.homes_per_object = static_cast<std::size_t>(values.homes_per_object);
  chosen.allow_spillover = values.spillover() == spillover_policy::while_spare;
  chosen.remembered_objects = static_cast<std::size_t>(values.remembered_objects);
  chosen.overcommit = static_cast<int>(values.overcommit_requests);
  chosen.queue_limit = static_cast<std::size_t>(values.queue_limit);
  chosen.crash_quarantine = duration{values.crash_quarantine_ms};
  chosen.paces_recovery = values.recovery() == recovery_policy::by_answers;
  chosen.robust_slowness = values.robust_slowness != 0;
  return chosen;
}

}  // namespace zinnia
