// Computes the progress of drains and moves from the declarations and the current time alone.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinnia/routing/declarations.hpp"
#include "zinnia/routing/shift_state.hpp"
#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {

/// \brief The backend servers and their locations that drains apply to.
struct shift_inventory {
  const std::map<backend_id, backend_declaration>* backends{nullptr};
  /// The region of each failure domain.
  const std::map<failure_domain_id, region_id>* regions{nullptr};
};

/// \brief Progress of one shift and the condition that it waits for.
struct shift_progress {
  std::string id;
  /// Percentage reached so far.
  std::int64_t percent{0};
  bool complete{false};
  /// The condition, for example "start time" or "caps of desk out of klang"; empty if there is none.
  std::string waits_for;
};

/// \brief Returns the percentage that a shift has reached by its steps, without regard to link caps.
[[nodiscard]] std::int64_t shift_percent(const shift_intent& shift, const service_settings& values,
                                         std::int64_t now_unix_ms);

/// \brief   Computes the combined state of all shifts of a tree at the given time.
/// \details The servers of a drained failure domain or region are closed step by step in the order of their
///          ids. A region drain closes no more than the caps of the links out of the region can replace.
[[nodiscard]] shift_state compute_shift_state(const settings_tree& tree, const shift_inventory& inventory,
                                              std::int64_t now_unix_ms);

/// \brief   Returns the percentage of a service's slots in a region that other regions can replace within the
///          caps of the links out of it.
/// \details 100 if no link out of the region is declared, because then there is no cap.
[[nodiscard]] std::int64_t replaceable_percent(const settings_tree& tree, const shift_inventory& inventory,
                                               const service_id& service, const region_id& from);

/// \brief Returns the progress of every declared shift.
[[nodiscard]] std::vector<shift_progress> compute_shift_progress(const settings_tree& tree,
                                                                 const shift_inventory& inventory,
                                                                 std::int64_t now_unix_ms);

}  // namespace zinnia
