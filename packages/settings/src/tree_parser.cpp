// Parses the tree's YAML text with yaml-cpp, which provides the line of each node for error positions.
#include "tree_parser.hpp"

#include <algorithm>

#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/utf8.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::int64_t max_link_delay_ms = 10'000;
constexpr std::int64_t max_link_capacity = 10'000'000;

template <class Id>
[[nodiscard]] std::vector<std::string> to_strings(const std::vector<Id>& ids) {
  std::vector<std::string> strings;
  for (const auto& id : ids) {
    strings.push_back(id.str());
  }
  return strings;
}

[[nodiscard]] std::vector<std::string> setting_names() {
  std::vector<std::string> names;
  for (const auto& setting : setting_table()) {
    names.emplace_back(setting.name);
  }
  return names;
}

[[nodiscard]] std::string format_range(std::int64_t min_value, std::int64_t max_value) {
  return "allowed: " + std::to_string(min_value) + " to " + std::to_string(max_value);
}

}  // namespace
}  // namespace impl

void tree_parser::fail(const YAML::Node& node, const std::string& message) const {
  const auto mark = node.Mark();
  std::string position = this->file_name;
  if (!mark.is_null()) {
    position += ':' + std::to_string(mark.line + 1);
  }
  throw error{reason::invalid_setting, message, position};
}

void tree_parser::check_keys(const YAML::Node& map, const std::vector<std::string>& known,
                             const std::string& key_kind) const {
  if (!map.IsMap()) {
    this->fail(map, key_kind + ": expected a mapping");
  }
  for (const auto& entry : map) {
    const auto name = entry.first.as<std::string>();
    if (std::find(known.begin(), known.end(), name) != known.end()) {
      continue;
    }
    const auto nearest = nearest_name(name, known);
    const auto hint = nearest.empty() ? std::string{} : "; did you mean '" + nearest + "'?";
    this->fail(entry.first, "unknown " + key_kind + " '" + name + "'" + hint);
  }
}

std::int64_t tree_parser::read_integer(const YAML::Node& node, const std::string& field,
                                       std::int64_t min_value, std::int64_t max_value) const {
  std::int64_t value = 0;
  if (!node.IsScalar() || !YAML::convert<std::int64_t>::decode(node, value)) {
    const auto shown = node.IsScalar() ? node.Scalar() : std::string{"not a number"};
    this->fail(node, field + ": '" + shown + "' is not a whole number; " +
                         impl::format_range(min_value, max_value) +
                         ", without a unit (the field name states it)");
  }
  if (value < min_value || value > max_value) {
    this->fail(node, field + ": " + std::to_string(value) + " is out of range; " +
                         impl::format_range(min_value, max_value));
  }
  return value;
}

std::int64_t tree_parser::read_required_integer(const YAML::Node& map, const std::string& field,
                                                std::int64_t min_value, std::int64_t max_value) const {
  const auto node = map[field];
  if (!node) {
    this->fail(map, field + ": a value is missing; " + impl::format_range(min_value, max_value));
  }
  return this->read_integer(node, field, min_value, max_value);
}

std::int64_t tree_parser::read_setting(const YAML::Node& node, const setting_descriptor& setting) const {
  const std::string name{setting.name};
  if (setting.value_names.empty()) {
    return this->read_integer(node, name, setting.min_value, setting.max_value);
  }
  const auto value_name = node.as<std::string>("");
  const auto found = std::find(setting.value_names.begin(), setting.value_names.end(), value_name);
  if (found == setting.value_names.end()) {
    std::string allowed;
    for (const auto& choice : setting.value_names) {
      allowed += (allowed.empty() ? "" : ", ") + std::string{choice};
    }
    this->fail(node, name + ": '" + value_name + "' is not allowed; allowed: " + allowed);
  }
  return setting.min_value + (found - setting.value_names.begin());
}

void tree_parser::read_overrides(const YAML::Node& map, const std::string& path) {
  if (!map) {
    return;
  }
  this->check_keys(map, impl::setting_names(), "setting");
  for (const auto& entry : map) {
    const auto* const setting = find_setting(entry.first.as<std::string>());
    this->tree.override_values[path][setting->name] = this->read_setting(entry.second, *setting);
  }
}

void tree_parser::read_places(const YAML::Node& root) {
  const auto places = root["places"];
  if (!places || !places.IsMap() || places.size() == 0) {
    this->fail(places ? places : root, "places: at least one region with a failure domain is required");
  }
  for (const auto& place : places) {
    const region_id region{place.first.as<std::string>()};
    this->tree.region_list.push_back(region);
    this->check_keys(place.second, {"settings", "domains"}, "field of a region");
    const auto path = "places." + region.str();
    this->read_overrides(place.second["settings"], path);
    const auto domains = place.second["domains"];
    if (!domains || domains.IsNull() || (domains.IsMap() && domains.size() == 0)) {
      this->fail(place.first, "places: region '" + region.str() + "' has no failure domain");
    }
    if (!domains.IsMap()) {
      this->fail(domains, "places: domains of region '" + region.str() + "': expected a mapping");
    }
    for (const auto& entry : domains) {
      this->check_new_domain(entry.first, region);
      domain_declaration domain{failure_domain_id{entry.first.as<std::string>()}, region, {}};
      if (entry.second.IsMap()) {
        this->check_keys(entry.second, {"settings", "clients"}, "field of a failure domain");
        this->read_overrides(entry.second["settings"], path + ".domains." + domain.id.str());
        for (const auto& block : entry.second["clients"]) {
          const auto parsed = parse_client_block(block.as<std::string>());
          if (!parsed) {
            this->fail(block, parsed.last_error().message);
          }
          domain.clients.push_back(*parsed);
        }
      }
      this->tree.domain_list.push_back(std::move(domain));
    }
  }
}

void tree_parser::check_new_domain(const YAML::Node& name, const region_id& region) const {
  const failure_domain_id id{name.as<std::string>()};
  for (const auto& known : this->tree.domain_list) {
    if (known.id == id) {
      this->fail(name, "places: failure domain '" + id.str() + "' is in regions " + known.region.str() +
                           " and " + region.str());
    }
  }
}

void tree_parser::read_services(const YAML::Node& services) {
  if (!services) {
    // The services are declared outside the tree, which still holds settings of regions and failure domains.
    return;
  }
  if (!services.IsMap() || services.size() == 0) {
    this->fail(services, "services: at least one service is required");
  }
  for (const auto& entry : services) {
    const service_id service{entry.first.as<std::string>()};
    this->tree.service_list.push_back(service);
    const auto path = "services." + service.str();
    this->check_keys(entry.second, {"settings", "regions"}, "field of a service");
    this->read_overrides(entry.second["settings"], path);
    const auto regions = entry.second["regions"];
    if (!regions) {
      continue;
    }
    this->check_keys(regions, impl::to_strings(this->tree.region_list), "region");
    for (const auto& place : regions) {
      const region_id region{place.first.as<std::string>()};
      this->read_service_region(service, region, place.second, path + ".regions." + region.str());
    }
  }
}

void tree_parser::read_service_region(const service_id& service, const region_id& region,
                                      const YAML::Node& node, const std::string& path) {
  this->check_keys(node, {"settings", "domains"}, "field of a service's region");
  this->read_overrides(node["settings"], path);
  const auto domains = node["domains"];
  if (!domains) {
    return;
  }
  std::vector<std::string> known;
  for (const auto& domain : this->tree.domain_list) {
    if (domain.region == region) {
      known.push_back(domain.id.str());
    }
  }
  this->check_keys(domains, known, "failure domain of region " + region.str());
  for (const auto& entry : domains) {
    const failure_domain_id id{entry.first.as<std::string>()};
    this->check_keys(entry.second, {"settings", "upstreams"}, "field of a service's failure domain");
    this->read_overrides(entry.second["settings"], path + ".domains." + id.str());
    this->read_upstreams(entry.second["upstreams"], service, {id, region, {}});
  }
}

void tree_parser::read_upstreams(const YAML::Node& list, const service_id& service,
                                 const domain_declaration& domain) {
  for (const auto& entry : list) {
    const upstream_id id{entry.as<std::string>()};
    if (const auto address = parse_endpoint(id.str()); !address) {
      this->fail(entry, "upstreams: " + address.last_error().message);
    }
    if (!this->declared_upstreams.emplace(service, id).second) {
      this->fail(entry, "upstreams: '" + id.str() + "' is declared twice for " + service.str());
    }
    this->tree.upstream_list.push_back({id, service, domain.region, domain.id});
  }
}

void tree_parser::read_links(const YAML::Node& links) {
  for (const auto& entry : links) {
    this->check_keys(entry, {"from", "to", "delay_ms", "capacity", "caps"}, "field of a link");
    this->read_link(entry);
  }
}

void tree_parser::read_link(const YAML::Node& node) {
  link_declaration link;
  link.from = region_id{node["from"].as<std::string>("")};
  link.to = region_id{node["to"].as<std::string>("")};
  for (const auto& region : {link.from, link.to}) {
    if (!this->tree.has_region(region)) {
      const auto nearest = nearest_name(region.str(), impl::to_strings(this->tree.region_list));
      this->fail(node, "links: unknown region '" + region.str() + "'" +
                           (nearest.empty() ? "" : "; did you mean '" + nearest + "'?"));
    }
  }
  link.delay_ms = this->read_required_integer(node, "delay_ms", 0, impl::max_link_delay_ms);
  link.capacity = this->read_required_integer(node, "capacity", 0, impl::max_link_capacity);
  std::int64_t total_caps = 0;
  if (node["caps"]) {
    this->check_keys(node["caps"], impl::to_strings(this->tree.service_list), "service");
    for (const auto& cap : node["caps"]) {
      const auto value = this->read_integer(cap.second, "caps", 0, impl::max_link_capacity);
      link.caps[service_id{cap.first.as<std::string>()}] = value;
      total_caps += value;
    }
  }
  if (total_caps > link.capacity) {
    this->fail(node, "caps: their sum " + std::to_string(total_caps) + " is over the link's capacity " +
                         std::to_string(link.capacity));
  }
  this->tree.link_list.push_back(std::move(link));
}

void tree_parser::check_client_blocks() const {
  std::vector<std::pair<client_block, const domain_declaration*>> blocks;
  for (const auto& domain : this->tree.domain_list) {
    for (const auto& block : domain.clients) {
      blocks.emplace_back(block, &domain);
    }
  }
  std::sort(blocks.begin(), blocks.end(),
            [](const auto& a, const auto& b) { return a.first.first < b.first.first; });
  for (std::size_t i = 1; i < blocks.size(); ++i) {
    if (blocks[i].first.first <= blocks[i - 1].first.last) {
      throw error{reason::invalid_setting,
                  "clients: blocks of " + blocks[i - 1].second->id.str() + " and " +
                      blocks[i].second->id.str() + " overlap",
                  this->file_name + ": places"};
    }
  }
}

settings_tree tree_parser::parse() {
  const auto root = YAML::Load(this->document.tree_text);
  this->check_keys(root, {"tree", "settings", "places", "services", "links"}, "field");
  this->tree.tree_name = root["tree"].as<std::string>("unnamed");
  this->read_overrides(root["settings"], "settings");
  this->read_places(root);
  this->read_services(root["services"]);
  this->read_links(root["links"]);
  this->tree.shift_list = this->document.shifts;
  this->check_client_blocks();
  this->check_shifts();
  return std::move(this->tree);
}

result<settings_tree> settings_tree::parse(const settings_document& document, const std::string& file_name) {
  if (const auto invalid = find_invalid_utf8(document.tree_text)) {
    const auto& text = document.tree_text;
    const auto line =
        1 + std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(*invalid), '\n');
    return error{reason::invalid_setting, "the text is not UTF-8", file_name + ':' + std::to_string(line)};
  }
  try {
    return tree_parser{document, file_name}.parse();
  } catch (const error& cause) {
    return cause;
  } catch (const YAML::Exception& cause) {
    const auto line = cause.mark.is_null() ? std::string{} : ':' + std::to_string(cause.mark.line + 1);
    return error{reason::invalid_setting, cause.msg, file_name + line};
  }
}

}  // namespace zinnia
