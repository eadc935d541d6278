// The faults of the mixed schedule.
#include <absl/strings/numbers.h>

#include <algorithm>
#include <optional>

#include "soak_run.hpp"

namespace zinnia::soak {
namespace impl {
namespace {

/// How long a backend server makes a statement, and the most servers that do at once.
constexpr milliseconds statement_time{8000};
constexpr std::size_t max_statements = 2;
/// How long a server is down after the request that crashes servers.
constexpr milliseconds crashed_time{1500};
/// From the first signal to a stopping node to the next ones.
constexpr milliseconds signal_interval{700};

}  // namespace
}  // namespace impl

void soak_run::crash(backend_under_test& crashed, const std::string& node) {
  this->crashing.on_crash(
      node, [this](const auto& id, auto since) { return this->is_calm(id, since); }, clock::now());
  ++crashed.active_faults;
  this->backend_faults.begin();
  crashed.proxy->set_state(link_state::refused);
  const absl::MutexLock lock{&this->crash_mutex};
  this->crash_threads.emplace_back([this, &crashed] {
    std::this_thread::sleep_for(impl::crashed_time);
    crashed.server->replace_instance();
    crashed.proxy->set_state(link_state::open);
    this->backend_faults.end();
    --crashed.active_faults;
  });
}

void soak_run::apply_temporarily(fault_window& scope, std::size_t max_extra_ms,
                                 const std::function<void()>& begin, std::function<void()> end) {
  scope.begin();
  begin();
  const milliseconds fault_duration{100 + this->random_below(max_extra_ms)};
  this->fault_threads.emplace_back([&scope, fault_duration, end = std::move(end)] {
    std::this_thread::sleep_for(fault_duration);
    end();
    scope.end();
  });
}

void soak_run::disturb_backend(backend_under_test& selected, std::size_t max_extra_ms,
                               const std::function<void()>& begin, const std::function<void()>& end) {
  ++selected.active_faults;
  this->apply_temporarily(this->backend_faults, max_extra_ms, begin, [&selected, end] {
    end();
    --selected.active_faults;
  });
}

void soak_run::restart_all_nodes() {
  for (auto& node : this->nodes) {
    this->restart(*node, SIGTERM);
  }
}

void soak_run::kill_random_nodes() {
  for (auto& node : this->nodes) {
    if (this->random_below(2) == 0) {
      this->restart(*node, SIGKILL);
    }
  }
}

void soak_run::restart(node_under_test& node, int signal) {
  if (!node.restarting.exchange(true)) {
    this->fault_threads.emplace_back([this, &node, signal] {
      this->stop_and_start(node, signal);
      node.restarting = false;
    });
  }
}

void soak_run::stop_and_start(node_under_test& node, int signal) {
  node.interruptions.begin();
  if (signal == SIGKILL) {
    node.unplanned_faults.begin();
  }
  if (signal == SIGTERM && !node.process->wait_until_handled(SIGTERM, stop_timeout_ms)) {
    this->history.add_violation(node.process->options().name + " does not handle SIGTERM");
  }
  node.process->signal(signal);
  if (this->options.only_stops) {
    // Neither this nor further SIGTERMs may change the stop that has begun.
    std::this_thread::sleep_for(impl::signal_interval);
    node.process->signal(SIGHUP);
  }
  std::optional<int> status;
  const auto end = clock::now() + milliseconds{node.process->options().stop_limit_ms + stop_margin_ms};
  while (!status && clock::now() < end) {
    if (this->options.only_stops) {
      node.process->signal(SIGTERM);
    }
    status = node.process->wait_for_exit(1);
  }
  if (!status) {
    this->history.add_violation(node.process->options().name + " did not stop in time");
    node.process->signal(SIGKILL);
    static_cast<void>(node.process->wait_for_exit(stop_timeout_ms));
  } else if (signal == SIGTERM && *status != 0) {
    this->history.add_violation(absl::StrCat(node.process->options().name, " ended with status ", *status));
  }
  ++node.incarnation;
  node.process->start();
  node.interruptions.end();
  if (signal == SIGKILL) {
    node.unplanned_faults.end();
  }
}

void soak_run::reload_settings() {
  auto& process = *this->random_node().process;
  if (!process.wait_until_handled(SIGHUP, stop_timeout_ms)) {
    this->history.add_violation(process.options().name + " does not handle SIGHUP");
  }
  process.signal(SIGHUP);
}

void soak_run::pause_node() {
  auto& node = this->random_node();
  node.unplanned_faults.begin();
  node.interruptions.begin();
  node.process->signal(SIGSTOP);
  std::this_thread::sleep_for(milliseconds{100 + this->random_below(2000)});
  node.process->signal(SIGCONT);
  node.interruptions.end();
  node.unplanned_faults.end();
}

void soak_run::inject_backend_link_fault() {
  auto& selected = this->random_backend();
  const auto state = this->random_fault_state();
  this->disturb_backend(
      selected, 2000, [&] { selected.proxy->set_state(state); },
      [&selected] { selected.proxy->set_state(link_state::open); });
}

link_state soak_run::random_fault_state() {
  constexpr std::array<link_state, 4> states{link_state::slow, link_state::reset, link_state::stalled,
                                             link_state::stalled_responses};
  return states.at(this->random_below(states.size()));
}

void soak_run::inject_link_fault(fault_window& scope, fault_proxy& proxy) {
  const auto state = this->random_fault_state();
  this->apply_temporarily(
      scope, 2000, [&] { proxy.set_state(state); }, [&proxy] { proxy.set_state(link_state::open); });
}

void soak_run::inject_store_fault() {
  constexpr std::array<standins::store_faults, 5> fault_kinds{{{.error_status = 503},
                                                               {.close_connections = true},
                                                               {.unresponsive_ms = 600},
                                                               {.lost_responses = 3},
                                                               {.suppress_watch_events = true}}};
  const auto& selected_faults = fault_kinds.at(this->random_below(fault_kinds.size()));
  this->apply_temporarily(
      this->store_faults, 2500, [&] { this->store.set_faults(selected_faults); },
      [this] { this->store.set_faults({}); });
  if (this->random_below(3) == 0) {
    this->store.discard_history();
  }
}

void soak_run::replace_backend() {
  this->backend_faults.begin();
  this->random_backend().server->replace_instance();
  this->backend_faults.end();
}

void soak_run::degrade_backend() {
  auto& server = this->random_backend();
  const bool is_slow = this->random_below(2) == 0;
  this->disturb_backend(
      server, 1500,
      [&] { is_slow ? server.server->set_slow(true) : server.server->set_dropping_responses(true); },
      [&server] {
        server.server->set_slow(false);
        server.server->set_dropping_responses(false);
      });
}

void soak_run::make_statement() {
  if (this->active_statements >= std::min(impl::max_statements, this->backends.size() / 4)) {
    return;
  }
  auto& selected = this->random_backend();
  if (selected.active_faults > 0) {
    return;
  }
  ++this->active_statements;
  selected.is_reserved = true;
  const std::array<own_statement, 3> statements{
      {{.rate_limit = 1 + static_cast<double>(this->random_below(80)) / 10},
       {.is_leaving = true},
       {.busy_s = 1 + static_cast<int>(this->random_below(5))}}};
  const auto& statement = statements.at(this->random_below(statements.size()));
  selected.server->set_statement(statement,
                                 [this](const auto& node, auto since) { return this->is_calm(node, since); });
  this->fault_threads.emplace_back([this, &selected, is_leaving = statement.is_leaving] {
    std::this_thread::sleep_for(impl::statement_time);
    this->judged_requests += selected.server->judged_requests();
    for (const auto& violation : selected.server->check_statement()) {
      this->history.add_violation(violation);
    }
    selected.server->set_statement({}, {});
    if (is_leaving) {
      selected.server->replace_instance();
    }
    selected.is_reserved = false;
    --this->active_statements;
  });
}

const node_under_test* soak_run::find_node(const std::string& id) const {
  std::size_t index = 0;
  const bool is_node = id.starts_with('q') && absl::SimpleAtoi(id.substr(1), &index);
  return is_node && index < this->nodes.size() ? this->nodes[index].get() : nullptr;
}

bool soak_run::is_calm(const std::string& node, clock::time_point since) const {
  const auto* found = this->find_node(node);
  return found != nullptr && found->interruptions.was_fault_free_since(since, milliseconds{0});
}

const std::array<soak_run::fault, 15> soak_run::mixed_faults{
    {{"kill a node", &soak_run::kill_node},
     {"stop a node", &soak_run::stop_node},
     {"stop all nodes", &soak_run::restart_all_nodes},
     {"kill random nodes", &soak_run::kill_random_nodes},
     {"pause a node", &soak_run::pause_node},
     {"settings changed", &soak_run::reload_settings},
     {"a node's link to its callers", &soak_run::inject_caller_link_fault},
     {"a node's link to the store", &soak_run::inject_store_link_fault},
     {"a backend server's link", &soak_run::inject_backend_link_fault},
     {"the store", &soak_run::inject_store_fault},
     {"configuration", &soak_run::change_configuration},
     {"drain a backend server", &soak_run::drain_backend},
     {"replace a backend server", &soak_run::replace_backend},
     {"slow a backend server or drop its responses", &soak_run::degrade_backend},
     {"a backend server's statement", &soak_run::make_statement}}};

const std::array<soak_run::fault, 6> soak_run::planned_changes{
    {{"stop a node", &soak_run::stop_node},
     {"stop all nodes", &soak_run::restart_all_nodes},
     {"settings changed", &soak_run::reload_settings},
     {"a node's link to the store", &soak_run::inject_store_link_fault},
     {"the store", &soak_run::inject_store_fault},
     {"configuration", &soak_run::change_configuration}}};

}  // namespace zinnia::soak
