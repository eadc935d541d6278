// Questions asked of a parsed tree.
#include "zinnia/settings/settings_tree.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

constexpr std::string_view root_path = "settings";

void apply_overrides(effective_settings& into, const settings_tree::override_map& overrides,
                     const std::string& path) {
  const auto found = overrides.find(path);
  if (found == overrides.end()) {
    return;
  }
  for (const auto& [name, value] : found->second) {
    const auto* const setting = find_setting(name);
    into.values.*(setting->member) = value;
    into.origins[setting->name] = path;
  }
}

/// Flattens a tree to path and text, so that two trees compare line by line.
[[nodiscard]] std::map<std::string, std::string> flatten(const settings_tree& tree) {
  std::map<std::string, std::string> lines;
  for (const auto& [path, values] : tree.overrides()) {
    for (const auto& [name, value] : values) {
      lines[path + '.' + std::string{name}] = format_setting(*find_setting(name), value);
    }
  }
  for (const auto& upstream : tree.upstreams()) {
    lines["upstream " + upstream.service.str() + ' ' + upstream.id.str()] = upstream.domain.str();
  }
  for (const auto& domain : tree.domains()) {
    lines["domain " + domain.id.str()] =
        domain.region.str() + ", client blocks: " + std::to_string(domain.clients.size());
  }
  for (const auto& link : tree.links()) {
    const std::string path = "link " + link.from.str() + '>' + link.to.str();
    lines[path + ".capacity"] = std::to_string(link.capacity);
    lines[path + ".delay_ms"] = std::to_string(link.delay_ms);
    for (const auto& [service, cap] : link.caps) {
      lines[path + ".caps." + service.str()] = std::to_string(cap);
    }
  }
  for (const auto& shift : tree.shifts()) {
    lines["shift " + shift.id] = std::string{to_string(shift.kind)} + ' ' + shift.target;
  }
  return lines;
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
  effective_settings found;
  impl::apply_overrides(found, this->override_values, std::string{impl::root_path});
  // What a place says holds for all services there; what a service says at a place is more specific.
  const auto place_path = "places." + region.str();
  impl::apply_overrides(found, this->override_values, place_path);
  impl::apply_overrides(found, this->override_values, place_path + ".domains." + domain.str());
  std::string path = "services." + service.str();
  impl::apply_overrides(found, this->override_values, path);
  if (region.empty()) {
    return found;
  }
  path += ".regions." + region.str();
  impl::apply_overrides(found, this->override_values, path);
  if (domain.empty()) {
    return found;
  }
  path += ".domains." + domain.str();
  impl::apply_overrides(found, this->override_values, path);
  return found;
}

std::vector<settings_change> diff(const settings_tree& before, const settings_tree& after) {
  const auto old_lines = impl::flatten(before);
  const auto new_lines = impl::flatten(after);
  std::vector<settings_change> changes;
  for (const auto& [path, value] : old_lines) {
    const auto found = new_lines.find(path);
    if (found == new_lines.end()) {
      changes.push_back({path, value, ""});
    } else if (found->second != value) {
      changes.push_back({path, value, found->second});
    }
  }
  for (const auto& [path, value] : new_lines) {
    if (!old_lines.contains(path)) {
      changes.push_back({path, "", value});
    }
  }
  return changes;
}

}  // namespace zinnia
