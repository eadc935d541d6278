// Step-wise progress of drains and moves.
#include "zinnia/routing/shift_plan.hpp"

#include <algorithm>
#include <set>

namespace zinnia {
namespace impl {
namespace {

constexpr std::int64_t full_percent = 100;

[[nodiscard]] region_id region_of(const shift_inventory& inventory, const backend_declaration& backend) {
  const auto found = inventory.regions->find(backend.domain);
  return found == inventory.regions->end() ? region_id{} : found->second;
}

[[nodiscard]] std::int64_t slots_of(const shift_inventory& inventory, const service_id& service,
                                    const region_id& region) {
  std::int64_t slots = 0;
  for (const auto& [id, backend] : *inventory.backends) {
    if (backend.service == service && region_of(inventory, backend) == region) {
      slots += backend.slots;
    }
  }
  return slots;
}

[[nodiscard]] bool is_target(const shift_intent& shift, const shift_inventory& inventory,
                             const backend_declaration& backend) {
  switch (shift.kind) {
    case shift_kind::drain_upstream:
      return shift.target == backend.id.str();
    case shift_kind::drain_domain:
      return shift.target == backend.domain.str();
    case shift_kind::drain_region:
      return shift.target == region_of(inventory, backend).str();
    default:
      return false;
  }
}

/// Returns the settings of the place that a shift is about, whose ramp the shift follows.
[[nodiscard]] service_settings shift_settings(const settings_tree& tree, const shift_inventory& inventory,
                                              const shift_intent& shift, const service_id& service) {
  if (shift.kind == shift_kind::drain_domain) {
    const failure_domain_id domain{shift.target};
    const auto region = inventory.regions->find(domain);
    return tree.effective(service, region == inventory.regions->end() ? region_id{} : region->second, domain)
        .values;
  }
  return tree.effective(service, region_id{shift.target}).values;
}

/// Closes the reached percentage of each service's target servers, in the order of their ids.
void close_target_backends(const settings_tree& tree, const shift_inventory& inventory,
                           const shift_intent& shift, std::int64_t now_unix_ms,
                           std::set<backend_id>& closed_backends) {
  std::map<service_id, std::vector<const backend_declaration*>> targets;
  for (const auto& [id, backend] : *inventory.backends) {
    if (is_target(shift, inventory, backend)) {
      targets[backend.service].push_back(&backend);
    }
  }
  for (const auto& [service, backends] : targets) {
    const auto region = region_of(inventory, *backends.front());
    auto percent = shift_percent(shift, shift_settings(tree, inventory, shift, service), now_unix_ms);
    if (shift.kind == shift_kind::drain_region) {
      percent = std::min(percent, replaceable_percent(tree, inventory, service, region));
    }
    const auto count = static_cast<std::int64_t>(backends.size()) * percent / full_percent;
    for (std::int64_t i = 0; i < count; ++i) {
      closed_backends.insert(backends[static_cast<std::size_t>(i)]->id);
    }
  }
}

/// Returns the services that have servers in the inventory which the shift drains.
[[nodiscard]] std::set<service_id> services_of(const shift_inventory& inventory, const shift_intent& shift) {
  std::set<service_id> services;
  for (const auto& [id, backend] : *inventory.backends) {
    if (is_target(shift, inventory, backend)) {
      services.insert(backend.service);
    }
  }
  return services;
}

}  // namespace
}  // namespace impl

std::int64_t shift_percent(const shift_intent& shift, const service_settings& values,
                           std::int64_t now_unix_ms) {
  if (now_unix_ms < shift.start_unix_ms) {
    return 0;
  }
  const bool is_immediate = shift.kind == shift_kind::drain_upstream || shift.kind == shift_kind::drain_entry;
  if (is_immediate || shift.start_unix_ms == 0) {
    return shift.percent;
  }
  const auto steps = (now_unix_ms - shift.start_unix_ms) / values.ramp_interval_ms + 1;
  const auto steps_to_complete = impl::full_percent / values.ramp_step_percent + 1;
  return std::min(shift.percent, std::min(steps, steps_to_complete) * values.ramp_step_percent);
}

std::int64_t replaceable_percent(const settings_tree& tree, const shift_inventory& inventory,
                                 const service_id& service, const region_id& from) {
  const auto slots = impl::slots_of(inventory, service, from);
  const bool has_links = std::any_of(tree.links().begin(), tree.links().end(),
                                     [&](const link_declaration& link) { return link.from == from; });
  if (slots == 0 || !has_links) {
    return impl::full_percent;
  }
  const auto service_ms = tree.effective(service, from).values.typical_service_ms;
  std::int64_t replaceable_slots = 0;
  for (const auto& link : tree.links()) {
    const auto found = link.caps.find(service);
    if (link.from == from && found != link.caps.end()) {
      // A request also counts against the cap while it travels over the link in both directions.
      replaceable_slots += found->second * service_ms / (service_ms + 2 * link.delay_ms);
    }
  }
  return std::min(impl::full_percent, replaceable_slots * impl::full_percent / slots);
}

shift_state compute_shift_state(const settings_tree& tree, const shift_inventory& inventory,
                                std::int64_t now_unix_ms) {
  shift_state state;
  for (const auto& shift : tree.shifts()) {
    if (now_unix_ms < shift.start_unix_ms) {
      continue;
    }
    switch (shift.kind) {
      case shift_kind::drain_entry:
        state.drained_nodes.insert(node_id{shift.target});
        break;
      case shift_kind::move: {
        const region_id from{shift.target};
        const auto percent = shift_percent(shift, tree.effective(shift.service, from).values, now_unix_ms);
        state.moves[{shift.service, from}].push_back({shift.to, percent});
        break;
      }
      default:
        impl::close_target_backends(tree, inventory, shift, now_unix_ms, state.closed_backends);
    }
  }
  return state;
}

std::vector<shift_progress> compute_shift_progress(const settings_tree& tree,
                                                   const shift_inventory& inventory,
                                                   std::int64_t now_unix_ms) {
  std::vector<shift_progress> progress_list;
  for (const auto& shift : tree.shifts()) {
    const auto percent_of = [&](const service_id& service) {
      return shift_percent(shift, impl::shift_settings(tree, inventory, shift, service), now_unix_ms);
    };
    shift_progress progress{shift.id, percent_of(shift.service), false, {}};
    if (const auto services = impl::services_of(inventory, shift); !services.empty()) {
      // The service that is furthest behind.
      progress.percent = impl::full_percent;
      for (const auto& service : services) {
        progress.percent = std::min(progress.percent, percent_of(service));
      }
    }
    if (now_unix_ms < shift.start_unix_ms) {
      progress.waits_for = "start time";
    } else if (progress.percent < shift.percent) {
      progress.waits_for = "next step";
    }
    if (shift.kind == shift_kind::drain_region) {
      for (const auto& service : impl::services_of(inventory, shift)) {
        const auto limit = replaceable_percent(tree, inventory, service, region_id{shift.target});
        if (limit < progress.percent) {
          progress.percent = limit;
          progress.waits_for = "caps of " + service.str() + " out of " + shift.target;
        }
      }
    }
    progress.complete = progress.percent >= shift.percent;
    progress_list.push_back(progress);
  }
  return progress_list;
}

}  // namespace zinnia
