// Puts together what is known of routes, backend servers and evacuations, and never goes back.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/routing/declarations.hpp"
#include "zinnia/routing/route_table.hpp"
#include "zinnia/routing/shift_plan.hpp"
#include "zinnia/routing/tree_declarations.hpp"

namespace zinnia {

/// \brief A configuration as it was declared.
struct routing_declaration {
  config_version version;
  std::vector<route> routes;
  std::vector<service_declaration> services;
};

/// \brief   Collects declarations and publishes snapshots. Not thread safe.
///
/// \details The configuration never goes back to an older version. A backend server whose entry disappears
///          while it was ready stays for a grace time, as an entry may lapse while the store is away and come
///          back; one that said that it was draining goes at once.
class snapshot_builder {
 public:
  explicit snapshot_builder(std::map<failure_domain_id, region_id> regions_in)
      : regions{std::move(regions_in)} {}

  /// \brief  Takes a configuration.
  /// \return Whether it is newer than the one in force.
  bool set_configuration(const routing_declaration& declaration);
  void set_backend(const backend_declaration& declaration);
  /// \param grace How long the server stays if it was ready.
  void remove_backend(const backend_id& id, time_point now, duration grace);
  void set_evacuated(const failure_domain_id& domain, bool is_evacuated);
  /// \brief Takes a settings tree; routes and servers that it declares itself come into force with it.
  void set_tree(std::shared_ptr<const settings_tree> tree);
  /// \brief Carries out removals whose grace is over, and steps of drains and moves.
  void apply_due_changes(time_point now, std::int64_t now_unix_ms);
  /// \brief When `settle` will next have something to do; `end_of_time` if nothing waits.
  [[nodiscard]] time_point next_removal() const noexcept;

  /// \brief A new snapshot if anything has changed since the last one, else null.
  [[nodiscard]] std::shared_ptr<const routing_snapshot> publish();
  [[nodiscard]] config_version version() const noexcept { return this->state.version; }
  /// \brief Whether there is anything to route by: a configuration, or services of the tree.
  [[nodiscard]] bool has_routes() const noexcept {
    return this->state.version.count() > 0 || !this->from_tree.routes.empty();
  }
  /// \brief Progress of the shifts of the tree in force.
  [[nodiscard]] std::vector<shift_progress> progress(std::int64_t now_unix_ms) const;

 private:
  void rebuild_routes();

  std::map<failure_domain_id, region_id> regions;
  routing_declaration configured;
  tree_declarations from_tree;
  routing_snapshot state;
  std::map<backend_id, time_point> removals;
  bool changed{false};
};

}  // namespace zinnia
