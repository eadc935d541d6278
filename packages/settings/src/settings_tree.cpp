// Lookups in a parsed settings tree, inheritance of settings, and the difference between two trees.
#include "zinnia/settings/settings_tree.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

constexpr std::string_view root_path = "settings";

void apply_overrides(effective_settings& settings, const settings_tree::override_map& overrides,
                     const std::string& path) {
  const auto found = overrides.find(path);
  if (found == overrides.end()) {
    return;
  }
  for (const auto& [name, value] : found->second) {
    const auto* const setting = find_setting(name);
    settings.values.*(setting->member) = value;
    settings.origins[setting->name] = path;
  }
}

/// Returns the tree as a map of paths to text, so that two trees can be compared entry by entry.
[[nodiscard]] std::map<std::string, std::string> flatten(const settings_tree& tree) {
  std::map<std::string, std::string> entries;
  for (const auto& [path, values] : tree.overrides()) {
    for (const auto& [name, value] : values) {
      entries[path + '.' + std::string{name}] = format_setting(*find_setting(name), value);
    }
  }
  for (const auto& upstream : tree.upstreams()) {
    entries["upstream " + upstream.service.str() + ' ' + upstream.id.str()] = upstream.domain.str();
  }
  for (const auto& domain : tree.domains()) {
    entries["domain " + domain.id.str()] =
        domain.region.str() + ", client blocks: " + std::to_string(domain.clients.size());
  }
  for (const auto& link : tree.links()) {
    const std::string path = "link " + link.from.str() + '>' + link.to.str();
    entries[path + ".capacity"] = std::to_string(link.capacity);
    entries[path + ".delay_ms"] = std::to_string(link.delay_ms);
    for (const auto& [service, cap] : link.caps) {
      entries[path + ".caps." + service.str()] = std::to_string(cap);
    }
  }
  for (const auto& shift : tree.shifts()) {
    entries["shift " + shift.id] = std::string{to_string(shift.kind)} + ' ' + shift.target;
  }
  return entries;
}

}  // namespace
}  // namespace impl

bool settings_tree::has_service(const service_id& service) const noexcept {
  return std::find(this->service_list.begin(), this->service_list.end(), service) != this->service_list.end();
}

bool settings_tree::has_region(const region_id& region) const noexcept {
  return std::find(this->region_list.begin(), this->region_list.end(), region) != this->region_list.end();
}

const link_declaration* settings_tree::find_link(const region_id& from, const region_id& to) const noexcept {
  const auto found =
      std::find_if(this->link_list.begin(), this->link_list.end(),
                   [&](const link_declaration& link) { return link.from == from && link.to == to; });
  return found == this->link_list.end() ? nullptr : &*found;
}

effective_settings settings_tree::effective(const service_id& service, const region_id& region,
                                            const failure_domain_id& domain) const {
  effective_settings resolved;
  impl::apply_overrides(resolved, this->override_values, std::string{impl::root_path});
  // Settings under `places` apply to all services in the region or failure domain. Settings under `services`
  // are more specific and override them.
  const auto place_path = "places." + region.str();
  impl::apply_overrides(resolved, this->override_values, place_path);
  impl::apply_overrides(resolved, this->override_values, place_path + ".domains." + domain.str());
  std::string path = "services." + service.str();
  impl::apply_overrides(resolved, this->override_values, path);
  if (region.empty()) {
    return resolved;
  }
  path += ".regions." + region.str();
  impl::apply_overrides(resolved, this->override_values, path);
  if (domain.empty()) {
    return resolved;
  }
  path += ".domains." + domain.str();
  impl::apply_overrides(resolved, this->override_values, path);
  return resolved;
}

std::vector<settings_change> diff(const settings_tree& before, const settings_tree& after) {
  const auto old_entries = impl::flatten(before);
  const auto new_entries = impl::flatten(after);
  std::vector<settings_change> changes;
  for (const auto& [path, value] : old_entries) {
    const auto found = new_entries.find(path);
    if (found == new_entries.end()) {
      changes.push_back({path, value, ""});
    } else if (found->second != value) {
      changes.push_back({path, value, found->second});
    }
  }
  for (const auto& [path, value] : new_entries) {
    if (!old_entries.contains(path)) {
      changes.push_back({path, "", value});
    }
  }
  return changes;
}

}  // namespace zinnia
