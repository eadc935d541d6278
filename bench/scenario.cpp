// Reading by yaml-cpp; the tree under `tree` is parsed by the product's own parser.
#include "scenario.hpp"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>

namespace zinnia::bench {
namespace impl {
namespace {

constexpr std::array<const char*, 3> event_words{"burst", "slow", "lost"};

[[noreturn]] void fail(const YAML::Node& at, const std::string& message) {
  throw error{reason::invalid_setting, message, "line " + std::to_string(at.Mark().line + 1)};
}

void read_number(const YAML::Node& map, const char* field, double& into, double lowest, double highest) {
  if (!map[field]) {
    return;
  }
  double value = 0;
  if (!YAML::convert<double>::decode(map[field], value) || value < lowest || value > highest) {
    fail(map[field], std::string{field} + ": '" + map[field].as<std::string>("") +
                         "' is not allowed; allowed: " + std::to_string(lowest) + " to " +
                         std::to_string(highest));
  }
  into = value;
}

template <class Integer>
void read_integer(const YAML::Node& map, const char* field, Integer& into, double lowest, double highest) {
  auto value = static_cast<double>(into);
  read_number(map, field, value, lowest, highest);
  into = static_cast<Integer>(value);
}

constexpr double most = 1e6;

[[nodiscard]] request_class read_class(const YAML::Node& node) {
  request_class read;
  read.name = node["name"].as<std::string>("");
  read.service = service_id{node["service"].as<std::string>("")};
  if (read.name.empty() || read.service.empty()) {
    fail(node, "classes: a class needs a name and a service");
  }
  read_number(node, "per_second_and_domain", read.per_second_and_domain, 0, most);
  read_number(node, "work_ms", read.work_ms, 1, most);
  read_number(node, "warm_gain", read.warm_gain, 0, 1);
  read_integer(node, "objects", read.objects, 1, most);
  read_number(node, "answer_kib", read.answer_kib, 0, most);
  read_integer(node, "aim_ms", read.aim_ms, 1, most);
  read_integer(node, "deadline_ms", read.deadline_ms, 1, most);
  read_integer(node, "priority", read.priority, 0, 100);
  read_number(node, "worth", read.worth, 0, most);
  read_number(node, "late_worth", read.late_worth, 0, most);
  read.repeatable = node["repeatable"].as<bool>(true);
  return read;
}

[[nodiscard]] scenario_event read_event(const YAML::Node& node) {
  scenario_event read;
  const auto word = node["kind"].as<std::string>("");
  const auto found = std::find(event_words.begin(), event_words.end(), word);
  if (found == event_words.end()) {
    fail(node, "events: kind '" + word + "' is not allowed; allowed: burst, slow, lost");
  }
  read.kind = static_cast<event_kind>(found - event_words.begin());
  read_number(node, "at_s", read.at_s, 0, most);
  read_number(node, "for_s", read.for_s, 0, most);
  read_number(node, "factor", read.factor, 0, most);
  read.domain = failure_domain_id{node["domain"].as<std::string>("")};
  return read;
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

[[nodiscard]] scenario read(const YAML::Node& root) {
  scenario made;
  made.name = root["name"].as<std::string>("unnamed");
  read_number(root, "length_s", made.length_s, 1, 3600);
  read_integer(root, "entries_per_domain", made.entries_per_domain, 1, 100);
  read_integer(root, "slots", made.slots, 1, 1000);
  read_integer(root, "queue", made.queue, 0, 1000);
  read_integer(root, "remembered", made.remembered, 0, most);
  read_number(root, "domain_delay_ms", made.domain_delay_ms, 0, 1000);
  read_number(root, "region_delay_ms", made.region_delay_ms, 0, 1000);
  read_number(root, "caller_delay_ms", made.caller_delay_ms, 0, 1000);
  read_number(root, "swing", made.swing, 0, 1);
  for (const auto& service : root["servers"]) {
    for (const auto& place : service.second) {
      made.servers.push_back({service_id{service.first.as<std::string>()},
                              failure_domain_id{place.first.as<std::string>()}, place.second.as<int>()});
    }
  }
  for (const auto& node : root["classes"]) {
    made.classes.push_back(read_class(node));
  }
  for (const auto& node : root["events"]) {
    made.events.push_back(read_event(node));
  }
  if (made.servers.empty() || made.classes.empty()) {
    fail(root, "servers and classes: at least one of each is required");
  }
  made.tree = read_tree(root["tree"]);
  auto single = YAML::Clone(root["tree"]);
  single["settings"]["homes_per_object"] = 1;
  single["settings"]["leave_homes"] = "never";
  made.one_home_tree = read_tree(single);
  return made;
}

}  // namespace
}  // namespace impl

result<scenario> read_scenario(const std::string& file_name) {
  try {
    return impl::read(YAML::LoadFile(file_name));
  } catch (const error& cause) {
    return error{cause.code, cause.message, file_name + ": " + cause.position};
  } catch (const YAML::Exception& cause) {
    return error{reason::invalid_setting, cause.what(), file_name};
  }
}

}  // namespace zinnia::bench
