// One run of the soak test: nodes as processes, backend servers, callers and a store, and the faults that are
// injected into them.
#pragma once

#include <absl/strings/str_cat.h>

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <thread>
#include <vector>

#include "backend.hpp"
#include "caller.hpp"
#include "crashing_request.hpp"
#include "edit_monitor.hpp"
#include "node_process.hpp"
#include "stall_meter.hpp"
#include "standins/external_writer.hpp"
#include "standins/fault_proxy.hpp"
#include "standins/fault_window.hpp"

namespace zinnia::soak {

using standins::fault_proxy;
using standins::fault_window;
using standins::link_state;
using std::chrono::milliseconds;
using clock = soak_clock;

/// The time a node has to stop, and the additional delay allowed for a loaded machine.
inline constexpr int stop_timeout_ms = 6000;
inline constexpr int short_stop_limit_ms = 3000;
inline constexpr int stop_margin_ms = 4000;
inline constexpr int caller_deadline_ms = 1200;
inline constexpr int caller_timeout_ms = 3000;

struct soak_options {
  std::string program;
  std::uint64_t seed{1};
  int seconds{10};
  int nodes{5};
  int backends{8};
  /// The store comes back from copies, instead of all other kinds of faults.
  bool restores_store{false};
  /// Nodes are stopped and told of changes, and the store fails: no request may be cut off for any of these.
  bool only_stops{false};
  std::string log_directory;
};

struct node_under_test {
  std::unique_ptr<node_process> process;
  std::unique_ptr<fault_proxy> caller_proxy;
  std::unique_ptr<fault_proxy> store_proxy;
  /// Faults that may interrupt requests; a stop by SIGTERM may not.
  fault_window unplanned_faults;
  /// Everything that interrupts the process, planned or not: it may forget what backend servers told it.
  fault_window interruptions;
  fault_window store_link_faults;
  std::atomic<bool> restarting{false};
  /// Rises with each start of the process.
  std::atomic<int> incarnation{0};
};

struct backend_under_test {
  std::unique_ptr<backend> server;
  /// While the server makes a statement, or drains in a restore, it gets no other faults.
  std::atomic<bool> is_reserved{false};
  /// Faults of the server and its link.
  std::atomic<int> active_faults{0};
  std::unique_ptr<fault_proxy> proxy;
};

class soak_run {
 public:
  explicit soak_run(soak_options parsed_options)
      : options{std::move(parsed_options)}, random{this->options.seed} {
    this->set_up();
  }
  soak_run(const soak_run&) = delete;
  soak_run& operator=(const soak_run&) = delete;
  soak_run(soak_run&&) = delete;
  soak_run& operator=(soak_run&&) = delete;
  ~soak_run() {
    // The network thread uses the proxies until it ends.
    this->context.stop();
    this->network_thread.join();
  }

  [[nodiscard]] int run();

 private:
  struct fault {
    const char* name;
    void (soak_run::*inject)();
  };
  static const std::array<fault, 15> mixed_faults;
  static const std::array<fault, 1> restore_faults;
  static const std::array<fault, 6> planned_changes;

  [[nodiscard]] std::size_t random_below(std::size_t bound) { return this->random() % bound; }
  [[nodiscard]] node_under_test& random_node() {
    return *this->nodes.at(this->random_below(this->nodes.size()));
  }
  /// Returns a server that is not reserved; there are always more servers than reserved ones.
  [[nodiscard]] backend_under_test& random_backend();
  void log_event(const std::string& text) const;

  void set_up();
  void write_configuration(int number);
  /// Sends requests of one caller to one node until the run stops.
  void run_caller(std::size_t node_index, int caller_index);
  /// Sends the same request to all nodes in turn, with pauses, until the run stops.
  void send_crashing_requests();
  /// The server is down for a while and starts again as a new instance.
  void crash(backend_under_test& crashed, const std::string& node);

  // Faults. A fault with a duration ends in its own thread while later faults are injected.
  /// Calls `begin` now, and `end` after a random duration from 100 ms up to `max_extra_ms` more.
  void apply_temporarily(fault_window& scope, std::size_t max_extra_ms, const std::function<void()>& begin,
                         std::function<void()> end);
  void disturb_backend(backend_under_test& selected, std::size_t max_extra_ms,
                       const std::function<void()>& begin, const std::function<void()>& end);
  void kill_node() { this->restart(this->random_node(), SIGKILL); }
  void stop_node() { this->restart(this->random_node(), SIGTERM); }
  void restart_all_nodes();
  void kill_random_nodes();
  void restart(node_under_test& node, int signal);
  void stop_and_start(node_under_test& node, int signal);
  void pause_node();
  void reload_settings();
  void inject_caller_link_fault() {
    auto& node = this->random_node();
    this->inject_link_fault(node.unplanned_faults, *node.caller_proxy);
  }
  void inject_store_link_fault() {
    auto& node = this->random_node();
    this->inject_link_fault(node.store_link_faults, *node.store_proxy);
  }
  void inject_backend_link_fault();
  [[nodiscard]] link_state random_fault_state();
  void inject_link_fault(fault_window& scope, fault_proxy& proxy);
  void inject_store_fault();
  void change_configuration() { this->write_configuration(++this->configuration_number); }
  void drain_backend() { this->random_backend().server->set_draining(this->random_below(3) != 0); }
  void replace_backend();
  void degrade_backend();
  /// A server names a limit, says that it is leaving, or refuses everything because it is busy. It is
  /// replaced by a new instance afterwards if it left.
  void make_statement();
  /// Returns the node that a request id names, "q" and its number, or nullptr.
  [[nodiscard]] const node_under_test* find_node(const std::string& id) const;
  [[nodiscard]] bool is_calm(const std::string& node, clock::time_point since) const;

  // A store that comes back from a copy.
  /// The store is copied, goes away for a moment and comes back from the copy. Edits and faults of nodes fall
  /// around it.
  void restore_store();
  /// Makes up to `max_count` edits, with pauses, and disturbs nodes meanwhile.
  void make_edits(std::size_t max_count);
  void add_route();
  void drop_route();
  void begin_drain();
  /// Evacuates a failure domain, or ends its evacuation.
  void evacuate();
  /// Kills, stops, pauses or cuts from the store up to `max_count` nodes, with pauses, but never the witness.
  void disturb_nodes(std::size_t max_count, std::size_t max_pause_ms);
  /// Sends requests on routes that were added or dropped to a node until the run stops.
  void probe_routes(std::size_t node_index);
  [[nodiscard]] bool is_in_touch(const std::string& node, clock::time_point at) const;
  [[nodiscard]] incarnation process_of(const std::string& node) const;
  void sleep_randomly(std::size_t max_ms) {
    std::this_thread::sleep_for(milliseconds{this->random_below(max_ms)});
  }

  // Recovery and shutdown.
  void clear_faults();
  void wait_until_ready(const char* when);
  /// Checks that every node serves `required_in_a_row` successive requests again. Single requests before that
  /// may fail because a backend server is still being health-checked.
  void check_requests_succeed();
  void stop_all_nodes();

  soak_options options;
  std::mt19937_64 random;
  clock::time_point started_at{clock::now()};
  request_history history;
  standins::platform_store store{5};
  standins::external_writer writer{this->store};
  edit_monitor edits{[this](const auto& node, auto at) { return this->is_in_touch(node, at); }};
  standins::threaded_http_server store_server{
      0, [this](const auto& request) { return this->store.handle(request); }};
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> network_work_guard{
      this->context.get_executor()};
  stall_meter proxy_stalls{this->context};
  std::thread network_thread;
  // Faults of backend servers and their connections, which can affect requests at every node.
  fault_window backend_faults;
  // Faults of the store. They don't excuse a lost request.
  fault_window store_faults;
  std::vector<std::unique_ptr<backend_under_test>> backends;
  std::vector<std::unique_ptr<node_under_test>> nodes;
  std::vector<std::thread> caller_threads;
  std::vector<std::thread> fault_threads;
  crashing_request crashing;
  absl::Mutex crash_mutex;
  std::vector<std::thread> crash_threads;
  std::atomic<std::size_t> active_statements{0};
  // Requests that arrived at servers after they had told the node something of themselves.
  std::atomic<std::size_t> judged_requests{0};
  std::atomic<bool> stopping{false};
  int configuration_number{1};
  // Paths of routes that restores have added and not dropped.
  std::vector<std::string> added_routes;
  int added_route_count{0};
  absl::Mutex probe_mutex;
  std::vector<std::string> probed_paths ABSL_GUARDED_BY(probe_mutex);
  std::vector<backend_under_test*> draining;
  std::string evacuated_domain;
  // A node that is not disturbed during a restore: somebody must know what the copy lacks.
  const node_under_test* witness{nullptr};
};

}  // namespace zinnia::soak
