// Parses scenarios with yaml-cpp. The settings under `tree` go through the production settings parser.
#include "scenario.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>

namespace zinnia::bench {
namespace impl {
namespace {

/// In the order of `event_kind`.
constexpr std::array<const char*, 3> event_names{"burst", "slow", "lost"};

[[noreturn]] void throw_invalid(const YAML::Node& at, const std::string& message) {
  throw error{reason::invalid_setting, message, "line " + std::to_string(at.Mark().line + 1)};
}

void read_number(const YAML::Node& map, const char* field, double& destination, double min_value,
                 double max_value) {
  if (!map[field]) {
    return;
  }
  double value = 0;
  if (!YAML::convert<double>::decode(map[field], value) || value < min_value || value > max_value) {
    throw_invalid(map[field], std::string{field} + ": '" + map[field].as<std::string>("") +
                                  "' is not allowed; allowed: " + std::to_string(min_value) + " to " +
                                  std::to_string(max_value));
  }
  destination = value;
}

template <class Integer>
void read_integer(const YAML::Node& map, const char* field, Integer& destination, double min_value,
                  double max_value) {
  auto value = static_cast<double>(destination);
  read_number(map, field, value, min_value, max_value);
  destination = static_cast<Integer>(value);
}

constexpr double max_number = 1e6;

[[nodiscard]] request_class read_class(const YAML::Node& node) {
  request_class parsed;
  parsed.name = node["name"].as<std::string>("");
  parsed.service = service_id{node["service"].as<std::string>("")};
  if (parsed.name.empty() || parsed.service.empty()) {
    throw_invalid(node, "classes: each class requires a name and a service");
  }
  read_number(node, "per_second_and_domain", parsed.per_second_and_domain, 0, max_number);
  read_number(node, "work_ms", parsed.work_ms, 1, max_number);
  read_number(node, "warm_gain", parsed.warm_gain, 0, 1);
  read_integer(node, "objects", parsed.objects, 1, max_number);
  read_number(node, "answer_kib", parsed.answer_kib, 0, max_number);
  read_integer(node, "aim_ms", parsed.aim_ms, 1, max_number);
  read_integer(node, "deadline_ms", parsed.deadline_ms, 1, max_number);
  read_integer(node, "priority", parsed.priority, 0, 100);
  read_number(node, "worth", parsed.worth, 0, max_number);
  read_number(node, "late_worth", parsed.late_worth, 0, max_number);
  parsed.repeatable = node["repeatable"].as<bool>(true);
  return parsed;
}

[[nodiscard]] scenario_event read_event(const YAML::Node& node) {
  scenario_event parsed;
  const auto name = node["kind"].as<std::string>("");
  const auto found = std::find(event_names.begin(), event_names.end(), name);
  if (found == event_names.end()) {
    throw_invalid(node, "events: kind '" + name + "' is not allowed; allowed: burst, slow, lost");
  }
  parsed.kind = static_cast<event_kind>(found - event_names.begin());
  read_number(node, "at_s", parsed.at_s, 0, max_number);
  read_number(node, "for_s", parsed.for_s, 0, max_number);
  read_number(node, "factor", parsed.factor, 0, max_number);
  parsed.domain = failure_domain_id{node["domain"].as<std::string>("")};
  return parsed;
}

[[nodiscard]] settings_tree read_tree(const YAML::Node& node) {
  settings_document document;
  document.tree_text = YAML::Dump(node);
  auto tree = settings_tree::parse(document, "tree");
  if (!tree) {
    throw tree.last_error();
  }
  return std::move(tree).value();
}

[[nodiscard]] scenario parse_scenario(const YAML::Node& root) {
  scenario parsed;
  parsed.name = root["name"].as<std::string>("unnamed");
  read_number(root, "length_s", parsed.length_s, 1, 3600);
  read_integer(root, "entries_per_domain", parsed.entries_per_domain, 1, 100);
  read_integer(root, "slots", parsed.slots, 1, 1000);
  read_integer(root, "queue", parsed.queue, 0, 1000);
  read_integer(root, "remembered", parsed.remembered, 0, max_number);
  read_number(root, "domain_delay_ms", parsed.domain_delay_ms, 0, 1000);
  read_number(root, "region_delay_ms", parsed.region_delay_ms, 0, 1000);
  read_number(root, "caller_delay_ms", parsed.caller_delay_ms, 0, 1000);
  read_number(root, "swing", parsed.swing, 0, 1);
  parsed.notices = root["notices"].as<bool>(true);
  for (const auto& service : root["servers"]) {
    for (const auto& group : service.second) {
      parsed.servers.push_back({service_id{service.first.as<std::string>()},
                                failure_domain_id{group.first.as<std::string>()}, group.second.as<int>()});
    }
  }
  for (const auto& node : root["classes"]) {
    parsed.classes.push_back(read_class(node));
  }
  for (const auto& node : root["events"]) {
    parsed.events.push_back(read_event(node));
  }
  if (parsed.servers.empty() || parsed.classes.empty()) {
    throw_invalid(root, "servers and classes: at least one of each is required");
  }
  parsed.tree = read_tree(root["tree"]);
  auto single = YAML::Clone(root["tree"]);
  single["settings"]["homes_per_object"] = 1;
  single["settings"]["leave_homes"] = "never";
  parsed.one_home_tree = read_tree(single);
  return parsed;
}

}  // namespace
}  // namespace impl

result<scenario> read_scenario(const std::string& file_name) {
  try {
    return impl::parse_scenario(YAML::LoadFile(file_name));
  } catch (const error& cause) {
    return error{cause.code, cause.message, file_name + ": " + cause.position};
  } catch (const YAML::Exception& cause) {
    return error{reason::invalid_setting, cause.what(), file_name};
  }
}

}  // namespace zinnia::bench
