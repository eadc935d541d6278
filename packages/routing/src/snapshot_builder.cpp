// Updates of the routing state and its publication.
#include "zinnia/routing/snapshot_builder.hpp"

#include <algorithm>

namespace zinnia {

bool snapshot_builder::set_configuration(const routing_declaration& declaration) {
  if (declaration.version <= this->state.version) {
    return false;
  }
  this->configuration = declaration;
  this->state.version = declaration.version;
  this->state.accounts = declaration.accounts;
  this->rebuild_routes();
  return true;
}

void snapshot_builder::rebuild_routes() {
  auto routes = this->configuration.routes;
  routes.insert(routes.end(), this->from_tree.routes.begin(), this->from_tree.routes.end());
  this->state.routes = std::make_shared<const route_table>(std::move(routes));
  this->state.services.clear();
  for (const auto* const list : {&this->configuration.services, &this->from_tree.services}) {
    for (const auto& service : *list) {
      this->state.services.emplace(service.id, service);
    }
  }
  this->changed = true;
}

void snapshot_builder::set_regions(std::map<failure_domain_id, region_id> regions_in) {
  if (regions_in == this->regions) {
    return;
  }
  this->regions = std::move(regions_in);
  this->state.regions = std::make_shared<const std::map<failure_domain_id, region_id>>(this->regions);
  this->changed = true;
}

void snapshot_builder::set_tree(std::shared_ptr<const settings_tree> tree) {
  for (const auto& backend : this->from_tree.backends) {
    this->pending_removals.erase(backend.id);
    this->state.backends.erase(backend.id);
  }
  this->from_tree = declarations_of(*tree);
  for (const auto& backend : this->from_tree.backends) {
    this->pending_removals.erase(backend.id);
    this->state.backends.emplace(backend.id, backend);
  }
  this->state.tree = std::move(tree);
  this->rebuild_routes();
}

void snapshot_builder::set_backend(const backend_declaration& declaration) {
  this->pending_removals.erase(declaration.id);
  this->state.backends.insert_or_assign(declaration.id, declaration);
  this->changed = true;
}

void snapshot_builder::remove_backend(const backend_id& id, time_point now, duration grace) {
  const auto found = this->state.backends.find(id);
  if (found == this->state.backends.end()) {
    return;
  }
  if (found->second.mode == backend_mode::draining) {
    this->state.backends.erase(found);
    this->changed = true;
  } else {
    auto& removal = this->pending_removals.try_emplace(id, now + grace).first->second;
    removal = std::min(removal, now + grace);
  }
}

void snapshot_builder::set_evacuated(const failure_domain_id& domain, bool is_evacuated) {
  const bool was_evacuated = this->state.evacuated.contains(domain);
  if (was_evacuated == is_evacuated) {
    return;
  }
  if (is_evacuated) {
    this->state.evacuated.insert(domain);
  } else {
    this->state.evacuated.erase(domain);
  }
  this->changed = true;
}

void snapshot_builder::apply_due_changes(time_point now, std::int64_t now_unix_ms) {
  if (this->state.tree != nullptr &&
      (!this->state.tree->shifts().empty() || !(this->state.shifts == shift_state{}))) {
    auto shifts =
        compute_shift_state(*this->state.tree, {&this->state.backends, &this->regions}, now_unix_ms);
    this->changed = this->changed || !(shifts == this->state.shifts);
    this->state.shifts = std::move(shifts);
  }
  for (auto removal = this->pending_removals.begin(); removal != this->pending_removals.end();) {
    if (now < removal->second) {
      ++removal;
      continue;
    }
    this->state.backends.erase(removal->first);
    removal = this->pending_removals.erase(removal);
    this->changed = true;
  }
}

time_point snapshot_builder::next_removal() const noexcept {
  time_point next = far_future;
  for (const auto& [id, at] : this->pending_removals) {
    next = std::min(next, at);
  }
  return next;
}

std::vector<shift_progress> snapshot_builder::progress(std::int64_t now_unix_ms) const {
  return this->state.tree == nullptr
             ? std::vector<shift_progress>{}
             : compute_shift_progress(*this->state.tree, {&this->state.backends, &this->regions},
                                      now_unix_ms);
}

std::shared_ptr<const routing_snapshot> snapshot_builder::publish() {
  if (!this->changed) {
    return nullptr;
  }
  this->changed = false;
  ++this->state.sequence;
  return std::make_shared<const routing_snapshot>(this->state);
}

}  // namespace zinnia
