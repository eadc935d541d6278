// The schedule in which the store comes back from copies.
#include <algorithm>

#include "soak_run.hpp"

namespace zinnia::soak {
namespace impl {
namespace {

/// A node is in touch once it, its links and the store have been undisturbed for this long.
constexpr milliseconds stable_window{4000};
/// Time in which at least the witness learns of an edit.
constexpr milliseconds edit_margin{700};
constexpr std::size_t max_rewrite_delay_ms = 9000;
constexpr std::size_t max_outage_ms = 2500;
constexpr milliseconds min_outage{300};
/// Servers that drain at once, and paths that are probed.
constexpr std::size_t max_draining = 2;
constexpr std::size_t max_probed_paths = 4;
constexpr milliseconds probe_interval{50};
constexpr milliseconds rewrite_interval{20};
constexpr int status_ok = 200;
constexpr int status_not_found = 404;

}  // namespace
}  // namespace impl

const std::array<soak_run::fault, 1> soak_run::restore_faults{
    {{"the store comes back from a copy", &soak_run::restore_store}}};

void soak_run::restore_store() {
  std::this_thread::sleep_for(impl::stable_window + milliseconds{500});
  this->witness = &this->random_node();
  this->make_edits(2);
  this->writer.take_copy();
  this->log_event("copy taken, witness " + this->witness->process->options().name);
  this->make_edits(4);
  std::this_thread::sleep_for(impl::edit_margin);
  this->sleep_randomly(2000);
  // The store may come back from the same copy twice.
  const auto restores = 1 + static_cast<int>(this->random_below(4) == 0);
  for (int i = 0; i < restores; ++i) {
    this->store_faults.begin();
    this->log_event("store away");
    this->writer.go_away();
    this->disturb_nodes(this->nodes.size(), impl::max_outage_ms / this->nodes.size());
    std::this_thread::sleep_for(impl::min_outage);
    this->writer.restore([this] { return milliseconds{this->random_below(impl::max_rewrite_delay_ms)}; });
    this->log_event("store back from the copy");
    this->store_faults.end();
    this->disturb_nodes(2, 1000);
    this->writer.write_due();
  }
  while (!this->writer.write_due()) {
    std::this_thread::sleep_for(impl::rewrite_interval);
  }
  this->log_event("everything written again");
  this->sleep_randomly(2000);
  for (auto* server : this->draining) {
    server->server->replace_instance();
    server->is_reserved = false;
  }
  this->draining.clear();
  if (!this->evacuated_domain.empty()) {
    this->evacuate();
  }
}

void soak_run::make_edits(std::size_t max_count) {
  constexpr std::array<fault, 6> kinds_of_edit{{{"add a route", &soak_run::add_route},
                                                {"drop a route", &soak_run::drop_route},
                                                {"drain", &soak_run::begin_drain},
                                                {"evacuate", &soak_run::evacuate},
                                                {"replace a server", &soak_run::replace_backend},
                                                {"configuration", &soak_run::change_configuration}}};
  for (auto count = 1 + this->random_below(max_count); count > 0; --count) {
    this->sleep_randomly(800);
    const auto& selected = kinds_of_edit.at(this->random_below(kinds_of_edit.size()));
    this->log_event(selected.name);
    (this->*selected.inject)();
    if (this->random_below(3) == 0) {
      this->disturb_nodes(1, 500);
    }
  }
}

void soak_run::add_route() {
  const auto path = absl::StrCat("/x", ++this->added_route_count, "/");
  this->added_routes.push_back(path);
  this->change_configuration();
  this->edits.forbid(handling::route_refused, path, clock::now());
  const absl::MutexLock lock{&this->probe_mutex};
  this->probed_paths.push_back(path);
  if (this->probed_paths.size() > impl::max_probed_paths) {
    this->probed_paths.erase(this->probed_paths.begin());
  }
}

void soak_run::drop_route() {
  if (this->added_routes.empty()) {
    return;
  }
  const auto path = this->added_routes.back();
  this->added_routes.pop_back();
  this->edits.allow(handling::route_refused, path);
  this->change_configuration();
  this->edits.forbid(handling::route_served, path, clock::now());
}

void soak_run::begin_drain() {
  if (this->draining.size() >= std::min(impl::max_draining, this->backends.size() / 4)) {
    return;
  }
  auto& selected = this->random_backend();
  selected.is_reserved = true;
  this->draining.push_back(&selected);
  this->edits.forbid(handling::sent_to_server, selected.server->set_draining(true), clock::now());
}

void soak_run::evacuate() {
  if (!this->evacuated_domain.empty()) {
    this->edits.allow(handling::sent_to_domain, this->evacuated_domain);
    this->writer.erase("evacuations", this->evacuated_domain);
    this->evacuated_domain.clear();
    return;
  }
  this->evacuated_domain = this->random_below(2) == 0 ? "a" : "b";
  this->writer.put("evacuations", this->evacuated_domain, nlohmann::json::object());
  this->edits.forbid(handling::sent_to_domain, this->evacuated_domain, clock::now());
}

void soak_run::disturb_nodes(std::size_t max_count, std::size_t max_pause_ms) {
  for (auto count = this->random_below(max_count + 1); count > 0; --count) {
    this->sleep_randomly(max_pause_ms);
    auto& node = this->random_node();
    const auto kind = this->random_below(4);
    if (&node == this->witness) {
      continue;
    }
    this->log_event(absl::StrCat(kind < 2    ? "kill "
                                 : kind == 2 ? "stop "
                                             : "cut from the store ",
                                 node.process->options().name));
    if (kind < 3) {
      this->restart(node, kind < 2 ? SIGKILL : SIGTERM);
    } else {
      this->inject_link_fault(node.store_link_faults, *node.store_proxy);
    }
  }
}

void soak_run::probe_routes(std::size_t node_index) {
  auto& node = *this->nodes.at(node_index);
  const auto name = absl::StrCat("q", node_index);
  caller client{this->history, node.caller_proxy->port()};
  for (std::size_t i = 0; !this->stopping; ++i) {
    std::this_thread::sleep_for(impl::probe_interval);
    std::string path;
    {
      const absl::MutexLock lock{&this->probe_mutex};
      if (this->probed_paths.empty()) {
        continue;
      }
      path = this->probed_paths.at(i % this->probed_paths.size());
    }
    const sent_request request{absl::StrCat(name, "-probe-", i), "GET", path + "1", "", true};
    const auto sent_at = clock::now();
    const auto process = this->process_of(name);
    const auto result = client.send_request(request, caller_deadline_ms, caller_timeout_ms);
    this->history.on_request_finished(request.id, result);
    if (process == this->process_of(name) &&
        (result.status == impl::status_ok || result.status == impl::status_not_found)) {
      this->edits.on_handled(
          result.status == impl::status_ok ? handling::route_served : handling::route_refused, path, process,
          sent_at);
    }
  }
}

bool soak_run::is_in_touch(const std::string& node, clock::time_point at) const {
  const auto* found = this->find_node(node);
  if (found == nullptr) {
    return false;
  }
  const std::array<const fault_window*, 4> windows{&found->interruptions, &found->unplanned_faults,
                                                   &found->store_link_faults, &this->store_faults};
  return std::all_of(windows.begin(), windows.end(), [at](const auto* window) {
    return window->was_fault_free_since(at, impl::stable_window);
  });
}

incarnation soak_run::process_of(const std::string& node) const {
  const auto* found = this->find_node(node);
  return {node, found == nullptr ? 0 : found->incarnation.load()};
}

}  // namespace zinnia::soak
