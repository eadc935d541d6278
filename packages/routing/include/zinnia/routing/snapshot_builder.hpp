// Combines routes, backend servers, evacuations and settings into routing snapshots.
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

/// \brief One version of the declared configuration.
struct routing_declaration {
  config_version version;
  std::vector<route> routes;
  std::vector<service_declaration> services;
  /// Null if the configuration has no accounts.
  std::shared_ptr<const account_table> accounts;
};

/// \brief   Collects declarations and publishes snapshots. Not thread safe.
///
/// \details The configuration never returns to an older version. A ready backend server whose entry
///          disappears is kept for a grace period, because an entry can expire while the store is unavailable
///          and then return. A draining server is removed at once.
class snapshot_builder {
 public:
  explicit snapshot_builder(std::map<failure_domain_id, region_id> regions_in)
      : regions{std::move(regions_in)} {}

  /// \brief  Applies a configuration if it is newer than the active one.
  /// \return True if the configuration was applied.
  bool set_configuration(const routing_declaration& declaration);
  void set_backend(const backend_declaration& declaration);
  /// \param grace Time for which the server is kept if it was ready.
  void remove_backend(const backend_id& id, time_point now, duration grace);
  void set_evacuated(const failure_domain_id& domain, bool is_evacuated);
  /// \brief Replaces the regions of the known failure domains.
  void set_regions(std::map<failure_domain_id, region_id> regions_in);
  /// \brief Applies a settings tree together with the routes and servers that it declares.
  void set_tree(std::shared_ptr<const settings_tree> tree);
  /// \brief Performs removals whose grace period has ended and updates the state of drains and moves.
  void apply_due_changes(time_point now, std::int64_t now_unix_ms);
  /// \brief Returns the time of the next pending removal; `far_future` if there is none.
  [[nodiscard]] time_point next_removal() const noexcept;

  /// \brief Returns a new snapshot if something changed since the last one, otherwise null.
  [[nodiscard]] std::shared_ptr<const routing_snapshot> publish();
  [[nodiscard]] config_version version() const noexcept { return this->state.version; }
  /// \brief Returns true if there is a configuration or the settings tree declares services.
  [[nodiscard]] bool has_routes() const noexcept {
    return this->state.version.count() > 0 || !this->from_tree.routes.empty();
  }
  [[nodiscard]] bool has_backend(const backend_id& id) const { return this->state.backends.contains(id); }
  /// \brief Returns the declaration in force, or null.
  [[nodiscard]] const backend_declaration* find_backend(const backend_id& id) const {
    const auto found = this->state.backends.find(id);
    return found == this->state.backends.end() ? nullptr : &found->second;
  }
  /// \brief Returns the progress of the shifts of the active tree.
  [[nodiscard]] std::vector<shift_progress> progress(std::int64_t now_unix_ms) const;

 private:
  void rebuild_routes();

  std::map<failure_domain_id, region_id> regions;
  routing_declaration configuration;
  tree_declarations from_tree;
  routing_snapshot state;
  std::map<backend_id, time_point> pending_removals;
  bool changed{false};
};

}  // namespace zinnia
