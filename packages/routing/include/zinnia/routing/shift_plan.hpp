// How far each planned drain and move has come: a function of the declaration and the time alone.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinnia/routing/declarations.hpp"
#include "zinnia/routing/shift_state.hpp"
#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {

/// \brief Backend servers and their places, as drains see them.
struct shift_inventory {
  const std::map<backend_id, backend_declaration>* backends{nullptr};
  /// The region of each failure domain.
  const std::map<failure_domain_id, region_id>* regions{nullptr};
};

/// \brief How far one shift has come, and what it waits for.
struct shift_progress {
  std::string id;
  /// Percent reached by now.
  std::int64_t percent{0};
  bool complete{false};
  /// Empty when it goes on by itself, for example "start time" or "caps of desk out of klang".
  std::string waits_for;
};

/// \brief Percent that a shift has reached by its steps, before any cap is looked at.
[[nodiscard]] std::int64_t shift_percent(const shift_intent& shift, const service_settings& values,
                                         std::int64_t now_unix_ms);

/// \brief   What all shifts of a tree ask for now.
/// \details The servers of a drained failure domain or region close step by step, in the order of their ids,
///          and those of a region never faster than the caps out of it can take over.
[[nodiscard]] shift_state compute_shift_state(const settings_tree& tree, const shift_inventory& inventory,
                                              std::int64_t now_unix_ms);

/// \brief   Percent of a service's slots in a region that the caps out of it can replace.
/// \details 100 where no link out of the region is declared, as there is no cap then.
[[nodiscard]] std::int64_t replaceable_percent(const settings_tree& tree, const shift_inventory& inventory,
                                               const service_id& service, const region_id& from);

/// \brief Progress of every declared shift.
[[nodiscard]] std::vector<shift_progress> compute_shift_progress(const settings_tree& tree,
                                                                 const shift_inventory& inventory,
                                                                 std::int64_t now_unix_ms);

}  // namespace zinnia
