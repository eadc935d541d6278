// Access to the servers and services of the backend table, and which servers are checked or recover.
#include <algorithm>

#include "zinnia/routing/backend_table.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Fraction of a cold server's request rate that the node warming it uses. The rest is a margin for a second
/// node that may warm it for a short time.
constexpr double cold_rate_fraction = 0.8;
/// Nodes that may warm a server at the same time for a moment, when their views of the nodes differ.
constexpr double max_warming_nodes = 2;

}  // namespace
}  // namespace impl

double backend_table::cold_rate(const backend_state& backend,
                                const service_declaration& service) const noexcept {
  const double usual = service.cold_requests_per_second * impl::cold_rate_fraction;
  if (!backend.recovery().is_active()) {
    return usual;
  }
  // The pace decides below this bound, which holds for two nodes together. The server's rate counts whole
  // requests in any second, so one is left out.
  const double bound = service.cold_requests_per_second * this->cold_limits.overage + this->cold_limits.slack;
  return std::max(usual, bound / impl::max_warming_nodes - 1);
}

void backend_table::set_recovery(const std::map<service_id, service_group>& groups, backend_state& backend,
                                 bool starts, time_point now) {
  const auto group = groups.find(backend.declared().service);
  backend.set_paces_recovery(group != groups.end() && group->second.settings.paces_recovery);
  if (starts) {
    backend.begin_recovery(now);
  }
}

bool backend_table::may_be_checked(const backend_state& backend, time_point now) const {
  const auto& declared = backend.declared();
  return !backend.is_leaving() && !backend.is_busy(now) && declared.mode == backend_mode::ready &&
         !this->evacuated.contains(declared.domain);
}

std::vector<std::shared_ptr<backend_state>> backend_table::due_for_health_check(time_point now) const {
  std::vector<std::shared_ptr<backend_state>> due;
  for (const auto& [id, backend] : this->backends) {
    if (backend->needs_health_check(now) && this->may_be_checked(*backend, now)) {
      due.push_back(backend);
    }
  }
  return due;
}

std::shared_ptr<backend_state> backend_table::find(const backend_id& id) const {
  const auto found = this->backends.find(id);
  return found == this->backends.end() ? nullptr : found->second;
}

std::shared_ptr<backend_state> backend_table::find_by_hash(std::uint64_t hash) const {
  const auto found = this->backends_by_hash.find(hash);
  return found == this->backends_by_hash.end() ? nullptr : found->second;
}

const service_declaration* backend_table::service(const service_id& id) const {
  const auto found = this->services.find(id);
  return found == this->services.end() ? nullptr : &found->second.declaration;
}

const placement_settings& backend_table::settings_of(const service_id& id) const {
  static const placement_settings defaults;
  const auto found = this->services.find(id);
  return found == this->services.end() ? defaults : found->second.settings;
}

}  // namespace zinnia
