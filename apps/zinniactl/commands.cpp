// Settings, drains, moves and status.
#include "commands.hpp"

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>

#include "zinnia/steering/node_machine.hpp"
#include "zinnia/steering/shift_plan.hpp"
#include "zinnia/store/http_call.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr duration store_limit{5000};
constexpr long http_ok = 200;

[[nodiscard]] std::string unique_id() {
  std::random_device source;
  return std::to_string(unix_time_ms()) + '-' + std::to_string(source());
}

[[nodiscard]] std::string history_key(object_version version) {
  return "history/settings/" + std::to_string(version.count());
}

[[nodiscard]] nlohmann::json to_json(const std::vector<settings_change>& changes) {
  nlohmann::json list = nlohmann::json::array();
  for (const auto& change : changes) {
    list.push_back({{"path", change.path}, {"before", change.before}, {"after", change.after}});
  }
  return list;
}

void print_text(const std::vector<settings_change>& changes) {
  for (const auto& change : changes) {
    if (change.before.empty()) {
      std::cout << "  + " << change.path << ": " << change.after << '\n';
    } else if (change.after.empty()) {
      std::cout << "  - " << change.path << ": " << change.before << '\n';
    } else {
      std::cout << "  ~ " << change.path << ": " << change.before << " -> " << change.after << '\n';
    }
  }
  if (changes.empty()) {
    std::cout << "  no changes\n";
  }
}

}  // namespace
}  // namespace impl

command_runner::command_runner(command_options given)
    : options{std::move(given)},
      store{std::make_unique<http_object_store>(this->options.store_url, impl::store_limit)} {}

const std::vector<command_runner::command_entry>& command_runner::table() {
  static const std::vector<command_entry> entries{
      {"plan", &command_runner::plan, 1},     {"apply", &command_runner::apply, 1},
      {"show", &command_runner::show, 1},     {"drain", &command_runner::drain, 3},
      {"move", &command_runner::move, 1},     {"cancel-shift", &command_runner::cancel_shift, 2},
      {"status", &command_runner::status, 1}, {"fate", &command_runner::fate, 2},
  };
  return entries;
}

exit_code command_runner::run() {
  for (const auto& entry : table()) {
    if (entry.name != this->options.words.front()) {
      continue;
    }
    if (this->options.words.size() < entry.least_words) {
      this->complain(std::string{entry.name} + ": an argument is missing, see --help");
      return exit_code::bad_input;
    }
    return (this->*entry.run)();
  }
  std::vector<std::string> names;
  for (const auto& entry : table()) {
    names.emplace_back(entry.name);
  }
  const auto near = nearest_name(this->options.words.front(), names);
  this->complain("unknown command '" + this->options.words.front() + "'" +
                 (near.empty() ? "" : "; did you mean '" + near + "'?"));
  return exit_code::bad_input;
}

void command_runner::complain(const std::string& message) const {
  std::cerr << "zinniactl: " << message << '\n';
}

std::optional<stored_settings> command_runner::load() {
  const auto reply = this->store->get(settings_key);
  stored_settings found;
  if (reply.status == store_status::not_found) {
    return found;
  }
  if (!reply.ok()) {
    this->complain("the platform's store does not answer");
    return std::nullopt;
  }
  found.version = reply.version;
  if (auto document = decode_settings_document(reply.value)) {
    found.document = *document;
    if (auto tree = settings_tree::parse(*document, "stored settings")) {
      found.tree = std::move(tree).value();
    }
  }
  return found;
}

std::optional<settings_document> command_runner::read_file(const settings_document& base) {
  std::ifstream file{this->options.file};
  if (!file) {
    this->complain("--file: cannot read '" + this->options.file + "'");
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  settings_document document;
  document.tree_text = text.str();
  // Planned shifts live beside the tree and stay in force when the tree is edited.
  document.shifts = base.shifts;
  const auto tree = settings_tree::parse(document, this->options.file);
  if (!tree) {
    this->complain(tree.last_error().describe());
    return std::nullopt;
  }
  return document;
}

void command_runner::print_changes(const std::string& title, const settings_document& before,
                                   const settings_document& after) {
  const auto old_tree = settings_tree::parse(before, "before");
  const auto new_tree = settings_tree::parse(after, "after");
  const auto changes = diff(old_tree ? *old_tree : settings_tree{}, new_tree ? *new_tree : settings_tree{});
  if (this->options.as_json) {
    std::cout << nlohmann::json{{"title", title}, {"changes", impl::to_json(changes)}}.dump() << '\n';
    return;
  }
  std::cout << title << ":\n";
  impl::print_text(changes);
}

void command_runner::print_shift_notes(const settings_tree& tree) {
  if (this->options.as_json) {
    return;
  }
  for (const auto& shift : tree.shifts()) {
    if (shift.kind != shift_kind::drain_region) {
      continue;
    }
    for (const auto& service : tree.services()) {
      std::cout << "  shift " << shift.id << ": caps out of " << shift.target << " can take over "
                << replaceable_percent(tree, service, region_id{shift.target}) << "% of " << service.str()
                << "'s slots\n";
    }
  }
}

exit_code command_runner::plan() {
  const auto base = this->load();
  if (!base) {
    return exit_code::failed;
  }
  const auto changed = this->read_file(base->document);
  if (!changed) {
    return exit_code::bad_input;
  }
  this->print_changes("plan against version " + std::to_string(base->version.count()), base->document,
                      *changed);
  this->print_shift_notes(*settings_tree::parse(*changed, this->options.file));
  return exit_code::ok;
}

exit_code command_runner::report_conflict(const settings_document& base, const settings_document& mine,
                                          const store_reply& reply) {
  this->complain("refused: the settings have changed since version that this edit is based on");
  if (const auto theirs = decode_settings_document(reply.value)) {
    this->print_changes("their change, by " + theirs->author, base, *theirs);
  }
  this->print_changes("your change", base, mine);
  return exit_code::conflict;
}

exit_code command_runner::write(const stored_settings& base, settings_document changed) {
  changed.edit_id = impl::unique_id();
  changed.author = this->options.author;
  const auto tree =
      settings_tree::parse(changed, this->options.file.empty() ? "settings" : this->options.file);
  if (!tree) {
    this->complain(tree.last_error().describe());
    return exit_code::bad_input;
  }
  if (base.version.count() != 0) {
    // Kept so that a later conflict can show what both sides changed.
    static_cast<void>(this->store->put(impl::history_key(base.version), encode(base.document), {}));
  }
  const auto reply = put_resolved(*this->store, settings_key, encode(changed), base.version);
  switch (reply.status) {
    case store_status::ok:
      break;
    case store_status::conflict:
    case store_status::not_found: {
      const auto current = this->store->get(settings_key);
      return this->report_conflict(base.document, changed, current);
    }
    case store_status::unknown:
      this->complain("the answer was lost and the store cannot be read: edit " + changed.edit_id +
                     " may or may not be in force; run 'zinniactl show' when the store is back");
      return exit_code::unknown;
    case store_status::unavailable:
      this->complain("the platform's store does not answer; nothing was written");
      return exit_code::failed;
  }
  if (this->options.as_json) {
    std::cout << nlohmann::json{{"accepted_version", reply.version.count()}, {"edit", changed.edit_id}}.dump()
              << '\n';
  } else {
    std::cout << "accepted as version " << reply.version.count() << '\n';
  }
  return exit_code::ok;
}

exit_code command_runner::apply() {
  auto base = this->load();
  if (!base) {
    return exit_code::failed;
  }
  const auto changed = this->read_file(base->document);
  if (!changed) {
    return exit_code::bad_input;
  }
  const bool outdated =
      this->options.expect_version >= 0 && this->options.expect_version != base->version.count();
  if (outdated) {
    const auto known = this->store->get(impl::history_key(object_version{this->options.expect_version}));
    const auto planned =
        known.ok() ? decode_settings_document(known.value) : result<settings_document>{error{}};
    const auto current = this->store->get(settings_key);
    return this->report_conflict(planned ? *planned : settings_document{}, *changed, current);
  }
  this->print_changes("changes", base->document, *changed);
  return this->write(*base, *changed);
}

exit_code command_runner::show() {
  const auto base = this->load();
  if (!base || !base->tree) {
    this->complain("there are no settings");
    return base ? exit_code::not_found : exit_code::failed;
  }
  nlohmann::json shown{{"version", base->version.count()}, {"author", base->document.author}};
  for (const auto& service : base->tree->services()) {
    if (!this->options.service.empty() && service.str() != this->options.service) {
      continue;
    }
    const auto effective = base->tree->effective(service, region_id{this->options.region},
                                                 failure_domain_id{this->options.domain});
    for (const auto& setting : setting_table()) {
      const auto origin = effective.origins.find(setting.name);
      shown["services"][service.str()][std::string{setting.name}] = {
          {"value", format_setting(setting, effective.values.*(setting.member))},
          {"from", origin == effective.origins.end() ? std::string{"default"} : origin->second}};
    }
  }
  if (this->options.as_json) {
    std::cout << shown.dump() << '\n';
    return exit_code::ok;
  }
  std::cout << "version " << base->version.count() << ", by " << base->document.author << '\n';
  for (const auto& [service, values] : shown["services"].items()) {
    std::cout << service << '\n';
    for (const auto& [name, value] : values.items()) {
      std::cout << "  " << name << " = " << value["value"].get<std::string>() << "  ("
                << value["from"].get<std::string>() << ")\n";
    }
  }
  return exit_code::ok;
}

exit_code command_runner::add_shift(shift_intent shift) {
  if (this->options.start == "now") {
    shift.start_unix_ms = unix_time_ms();
  } else {
    char* end = nullptr;
    shift.start_unix_ms = std::strtoll(this->options.start.c_str(), &end, 10);
    if (*end != '\0' || shift.start_unix_ms <= 0) {
      this->complain("--start: '" + this->options.start + "' is not allowed; allowed: now, or ms since 1970");
      return exit_code::bad_input;
    }
  }
  shift.percent = this->options.percent;
  shift.id = std::string{to_word(shift.kind)} + '-' + impl::unique_id();
  const auto base = this->load();
  if (!base) {
    return exit_code::failed;
  }
  auto changed = base->document;
  changed.shifts.push_back(shift);
  const auto code = this->write(*base, changed);
  if (code == exit_code::ok && !this->options.as_json) {
    std::cout << "shift " << shift.id << '\n';
    this->print_shift_notes(*settings_tree::parse(changed, "settings"));
  }
  return code;
}

exit_code command_runner::drain() {
  const std::vector<std::pair<std::string, shift_kind>> kinds{{"upstream", shift_kind::drain_upstream},
                                                              {"entry", shift_kind::drain_entry},
                                                              {"domain", shift_kind::drain_domain},
                                                              {"region", shift_kind::drain_region}};
  for (const auto& [word, kind] : kinds) {
    if (word == this->options.words[1]) {
      shift_intent shift;
      shift.kind = kind;
      shift.target = this->options.words[2];
      return this->add_shift(shift);
    }
  }
  this->complain("drain: '" + this->options.words[1] +
                 "' is not allowed; allowed: upstream, entry, domain, region");
  return exit_code::bad_input;
}

exit_code command_runner::move() {
  shift_intent shift;
  shift.kind = shift_kind::move;
  shift.target = this->options.from;
  shift.service = service_id{this->options.service};
  shift.to = region_id{this->options.to};
  return this->add_shift(shift);
}

exit_code command_runner::cancel_shift() {
  const auto base = this->load();
  if (!base) {
    return exit_code::failed;
  }
  auto changed = base->document;
  const auto removed =
      std::erase_if(changed.shifts, [this](const shift_intent& s) { return s.id == this->options.words[1]; });
  if (removed == 0) {
    this->complain("no shift '" + this->options.words[1] + "'");
    return exit_code::not_found;
  }
  return this->write(*base, changed);
}

exit_code command_runner::status() {
  const auto listed = this->store->list(holdings_prefix);
  if (listed.status != store_status::ok) {
    this->complain("the platform's store does not answer");
    return exit_code::failed;
  }
  nlohmann::json all = nlohmann::json::array();
  for (const auto& entry : listed.entries) {
    const auto table = decode_holdings_table(this->store->get(entry.key).value);
    if (!table) {
      continue;
    }
    for (const auto& [id, node] : table->nodes) {
      http_call call;
      call.url = "http://" + node.caller_address + "/v1/status";
      const auto answer = perform(call);
      auto value = nlohmann::json::parse(answer.body, nullptr, false);
      if (answer.status != impl::http_ok || value.is_discarded()) {
        value = {{"node", id.str()}, {"unreachable", true}};
      }
      value["heirs"] = nlohmann::json::array();
      for (const auto& heir : node.heirs) {
        value["heirs"].push_back(heir.str());
      }
      all.push_back(value);
    }
  }
  if (this->options.as_json) {
    std::cout << all.dump() << '\n';
    return exit_code::ok;
  }
  for (const auto& node : all) {
    std::cout << node["node"].get<std::string>();
    if (node.contains("unreachable")) {
      std::cout << "  unreachable\n";
      continue;
    }
    std::cout << "  " << node["region"].get<std::string>() << '/' << node["domain"].get<std::string>()
              << "  settings " << node["settings_version"] << "  upstreams " << node["upstreams"].size()
              << "  buckets " << node["buckets"].size() << "  in flight " << node["in_flight"]
              << (node["leaving"].get<bool>() ? "  leaving" : "")
              << (node["may_dispatch"].get<bool>() ? "" : "  may not dispatch") << "  heirs "
              << node["heirs"].dump() << '\n';
  }
  if (!all.empty() && all[0].contains("shifts")) {
    for (const auto& shift : all[0]["shifts"]) {
      std::cout << "shift " << shift["id"].get<std::string>() << "  " << shift["percent"] << "%"
                << (shift["complete"].get<bool>() ? "  complete" : "  waits for ")
                << shift["waits_for"].get<std::string>() << '\n';
    }
  }
  return exit_code::ok;
}

}  // namespace zinnia
