// Soak test with random faults. Runs zinniad nodes as processes, injects faults into processes, connections,
// the store and backend servers, and checks the system's guarantees from what callers and backend servers
// observe.
//
// Usage: fault_soak --program build/zinniad --seed 7 --seconds 20
// The seed determines the schedule of faults; the timing of the machine still differs between runs. The exit
// status is 1 if a guarantee was violated.
#include <absl/strings/str_cat.h>

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <iostream>
#include <random>
#include <thread>
#include <vector>

#include "backend.hpp"
#include "caller.hpp"
#include "crashing_request.hpp"
#include "node_process.hpp"
#include "standins/fault_proxy.hpp"
#include "zinnia/store/http_call.hpp"

namespace zinnia::soak {
namespace {

using standins::fault_proxy;
using standins::link_state;
using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr int exit_violation = 1;
constexpr int exit_usage_error = 2;
/// The time a node has to stop, and the additional delay allowed for a loaded machine.
constexpr int stop_timeout_ms = 6000;
constexpr int stop_margin_ms = 4000;
/// The time within which every node must be ready after the last fault.
constexpr int recovery_timeout_ms = 30'000;
/// The time for which a fault can still affect requests after it ended: nodes detect the loss, stop using
/// what was lost and check it again first.
constexpr milliseconds fault_effect_margin{3500};
constexpr const char* loopback = "127.0.0.1";
constexpr int caller_deadline_ms = 1200;
constexpr int caller_timeout_ms = 3000;
constexpr int callers_per_node = 3;
constexpr int route_count = 12;
/// How long a backend server makes a statement, and the most servers that do at once.
constexpr milliseconds statement_time{8000};
constexpr std::size_t max_statements = 2;
/// How long a server is down after the request that crashes servers.
constexpr milliseconds crashed_time{1500};
/// Longest pause of a caller between two such requests.
constexpr std::size_t max_crashing_pause_ms = 400;
/// A Retry-After in seconds that only quarantined requests get.
constexpr double min_quarantine_s = 30;

struct soak_options {
  std::string program;
  std::uint64_t seed{1};
  int seconds{10};
  int nodes{5};
  int backends{8};
  std::string log_directory;
};

/// Tracks the faults in one part of the system: how many are active and when the last one ended. Faults may
/// overlap.
class fault_window {
 public:
  void begin() { ++this->active_faults; }
  void end() {
    this->last_fault_end = clock::now();
    --this->active_faults;
  }
  /// \brief Returns true if no fault was active from `margin` before `from` until now.
  [[nodiscard]] bool was_fault_free_since(clock::time_point from,
                                          milliseconds margin = fault_effect_margin) const {
    return this->active_faults == 0 && this->last_fault_end.load() + margin < from;
  }

 private:
  std::atomic<int> active_faults{0};
  std::atomic<clock::time_point> last_fault_end{clock::time_point{}};
};

struct node_under_test {
  std::unique_ptr<node_process> process;
  std::unique_ptr<fault_proxy> caller_proxy;
  std::unique_ptr<fault_proxy> store_proxy;
  /// Faults that may interrupt requests; a stop by SIGTERM may not.
  fault_window unplanned_faults;
  /// Everything that interrupts the process, planned or not: it may forget what backend servers told it.
  fault_window interruptions;
  std::atomic<bool> restarting{false};
};

struct backend_under_test {
  std::unique_ptr<backend> server;
  /// While the server makes a statement, it gets no other faults.
  std::atomic<bool> makes_statement{false};
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

  [[nodiscard]] int run() {
    this->wait_until_ready("at the start");
    for (std::size_t node = 0; node < this->nodes.size(); ++node) {
      for (int index = 0; index < callers_per_node; ++index) {
        this->caller_threads.emplace_back([this, node, index] { this->run_caller(node, index); });
      }
    }
    this->caller_threads.emplace_back([this] { this->send_crashing_requests(); });
    const auto end = clock::now() + std::chrono::seconds{this->options.seconds};
    while (clock::now() < end) {
      const auto& selected = faults.at(this->random_below(faults.size()));
      this->log_event(selected.name);
      (this->*selected.inject)();
      std::this_thread::sleep_for(milliseconds{50 + this->random_below(500)});
    }
    this->clear_faults();
    this->wait_until_ready("after the last fault");
    this->check_requests_succeed();
    this->stopping = true;
    for (auto& thread : this->caller_threads) {
      thread.join();
    }
    this->stop_all_nodes();
    for (auto& thread : this->crash_threads) {
      thread.join();
    }
    if (const auto broken = this->crashing.check()) {
      this->history.add_violation(*broken);
    }
    const auto violations = this->history.check_at_end();
    std::cout << "seed " << this->options.seed << ": " << this->history.summary()
              << ", judged by a server's statement: " << this->judged_requests
              << ", servers crashed by a request: " << this->crashing.crashes() << '\n';
    for (const auto& violation : violations) {
      std::cout << "BROKEN " << violation << '\n';
    }
    return violations.empty() ? 0 : exit_violation;
  }

 private:
  struct fault {
    const char* name;
    void (soak_run::*inject)();
  };
  static const std::array<fault, 15> faults;

  [[nodiscard]] std::size_t random_below(std::size_t bound) { return this->random() % bound; }
  [[nodiscard]] node_under_test& random_node() {
    return *this->nodes.at(this->random_below(this->nodes.size()));
  }
  /// Returns a server that makes no statement; there are always more servers than threads that make some.
  [[nodiscard]] backend_under_test& random_backend() {
    std::size_t index = this->random_below(this->backends.size());
    while (this->backends.at(index)->makes_statement) {
      index = (index + 1) % this->backends.size();
    }
    return *this->backends.at(index);
  }
  void log_event(const std::string& text) const {
    const std::chrono::duration<double> elapsed = clock::now() - this->started_at;
    std::cerr << elapsed.count() << " s " << text << '\n';
  }

  void set_up() {
    std::filesystem::create_directories(this->options.log_directory);
    this->network_thread = std::thread{[this] { this->context.run(); }};
    this->write_configuration(1);
    for (int i = 0; i < this->options.backends; ++i) {
      auto created = std::make_unique<backend_under_test>();
      created->server = std::make_unique<backend>(this->history, this->store, "b" + std::to_string(i),
                                                  i % 2 == 0 ? "a" : "b");
      created->proxy = std::make_unique<fault_proxy>(this->context, loopback, created->server->port());
      created->server->on_crashing_request = [this, crashed = created.get()](const std::string& node) {
        this->crash(*crashed, node);
      };
      created->server->register_at(created->proxy->port());
      this->backends.push_back(std::move(created));
    }
    for (int i = 0; i < this->options.nodes; ++i) {
      auto created = std::make_unique<node_under_test>();
      const auto name = "n" + std::to_string(i);
      created->store_proxy =
          std::make_unique<fault_proxy>(this->context, loopback, this->store_server.port());
      // Failure domain a has two large nodes that serve and a small one that stands by; all others are large
      // and in failure domain b.
      created->process = std::make_unique<node_process>(
          node_options{this->options.program, name, "r", i < 3 ? "a" : "b", i != 2, find_free_ports(i),
                       created->store_proxy->port(), this->options.log_directory + "/" + name + ".log"});
      created->caller_proxy = std::make_unique<fault_proxy>(
          this->context, created->process->options().ports.ip, created->process->options().ports.caller_port);
      created->process->start();
      this->nodes.push_back(std::move(created));
    }
  }

  void write_configuration(int number) {
    nlohmann::json routes = nlohmann::json::array();
    for (int i = 0; i < route_count; ++i) {
      const bool is_safe = i % 2 == 0;
      routes.push_back(
          {{"name", absl::StrCat("r", i)},
           {"kind", is_safe ? "safe" : "unsafe"},
           {"targetLatencyMs", 200},
           {"priority", i % 3},
           {"sticky", i % 4 < 2},
           {"match", {{"pathPrefix", absl::StrCat("/r", i, "/")}}},
           {"action", {{"service", "desk"}, {"timeoutMs", 800 + 100 * (number % 3)}, {"maxAttempts", 3}}}});
    }
    std::array<char, 9> version{};
    static_cast<void>(std::snprintf(version.data(), version.size(), "%08x", static_cast<unsigned>(number)));
    this->store.put("config", "main",
                    {{"version", version.data()},
                     {"listeners", {{{"host", "soak.example"}, {"rules", routes}}}},
                     {"clusters", {{{"name", "desk"}, {"healthPath", "/health"}, {"maxConnections", 200}}}}});
  }

  /// Sends requests of one caller to one node until the run stops.
  void run_caller(std::size_t node_index, int caller_index) {
    auto& node = *this->nodes.at(node_index);
    caller client{this->history, node.caller_proxy->port()};
    std::mt19937_64 generator{this->options.seed * 1000 + node_index * 10 +
                              static_cast<std::uint64_t>(caller_index)};
    for (int i = 0; !this->stopping; ++i) {
      const auto route = generator() % route_count;
      sent_request request;
      request.id = absl::StrCat("q", node_index, "-", caller_index, "-", i);
      request.is_repeatable = route % 2 == 0;
      request.method = request.is_repeatable ? "GET" : "POST";
      request.path = absl::StrCat("/r", route, "/", generator() % 20);
      request.body = request.is_repeatable ? "" : "body of " + request.id;
      const auto sent_at = clock::now();
      // Some requests are abandoned early.
      const int timeout_ms = generator() % 20 == 0 ? static_cast<int>(generator() % 100) : caller_timeout_ms;
      auto result = client.send_request(request, caller_deadline_ms, timeout_ms);
      result.node = node.process->options().name;
      result.was_fault_free = node.unplanned_faults.was_fault_free_since(sent_at) &&
                              this->backend_faults.was_fault_free_since(sent_at);
      this->history.on_request_finished(request.id, result);
      if (result.retry_after_s >= min_quarantine_s) {
        this->history.add_violation(
            absl::StrCat("request ", request.id, ": was quarantined and never crashed a server"));
      }
      std::this_thread::sleep_for(milliseconds{generator() % 30});
    }
  }

  /// Sends the same request to all nodes in turn, with pauses, until the run stops.
  void send_crashing_requests() {
    std::mt19937_64 generator{this->options.seed};
    for (std::size_t i = 0; !this->stopping; ++i) {
      const auto node = generator() % this->nodes.size();
      caller client{this->history, this->nodes.at(node)->caller_proxy->port()};
      const sent_request request{absl::StrCat("q", node, "-crash-", i), "GET", crashing_path, "", true};
      this->history.on_request_finished(request.id,
                                        client.send_request(request, caller_deadline_ms, caller_timeout_ms));
      std::this_thread::sleep_for(milliseconds{generator() % max_crashing_pause_ms});
    }
  }
  /// The server is down for a while and starts again as a new instance.
  void crash(backend_under_test& crashed, const std::string& node) {
    this->crashing.on_crash(
        node, [this](const auto& id, auto since) { return this->is_calm(id, since); }, clock::now());
    ++crashed.active_faults;
    this->backend_faults.begin();
    crashed.proxy->set_state(link_state::refused);
    const absl::MutexLock lock{&this->crash_mutex};
    this->crash_threads.emplace_back([this, &crashed] {
      std::this_thread::sleep_for(crashed_time);
      crashed.server->replace_instance();
      crashed.proxy->set_state(link_state::open);
      this->backend_faults.end();
      --crashed.active_faults;
    });
  }

  // Faults. A fault with a duration ends in its own thread while later faults are injected.

  /// Calls `begin` now, and `end` after a random duration from 100 ms up to `max_extra_ms` more.
  void apply_temporarily(fault_window& scope, std::size_t max_extra_ms, const std::function<void()>& begin,
                         std::function<void()> end) {
    scope.begin();
    begin();
    const milliseconds fault_duration{100 + this->random_below(max_extra_ms)};
    this->fault_threads.emplace_back([&scope, fault_duration, end = std::move(end)] {
      std::this_thread::sleep_for(fault_duration);
      end();
      scope.end();
    });
  }
  void kill_node() { this->restart(this->random_node(), SIGKILL); }
  void stop_node() { this->restart(this->random_node(), SIGTERM); }
  void restart_all_nodes() {
    for (auto& node : this->nodes) {
      this->restart(*node, SIGTERM);
    }
  }
  void kill_random_nodes() {
    for (auto& node : this->nodes) {
      if (this->random_below(2) == 0) {
        this->restart(*node, SIGKILL);
      }
    }
  }
  void restart(node_under_test& node, int signal) {
    if (!node.restarting.exchange(true)) {
      this->fault_threads.emplace_back([this, &node, signal] {
        this->stop_and_start(node, signal);
        node.restarting = false;
      });
    }
  }
  void stop_and_start(node_under_test& node, int signal) {
    node.interruptions.begin();
    if (signal == SIGKILL) {
      node.unplanned_faults.begin();
    }
    if (signal == SIGTERM && !node.process->wait_until_handled(SIGTERM, stop_timeout_ms)) {
      this->history.add_violation(node.process->options().name + " does not handle SIGTERM");
    }
    node.process->signal(signal);
    const auto status = node.process->wait_for_exit(stop_timeout_ms + stop_margin_ms);
    if (!status) {
      this->history.add_violation(node.process->options().name + " did not stop in time");
      node.process->signal(SIGKILL);
      static_cast<void>(node.process->wait_for_exit(stop_timeout_ms));
    } else if (signal == SIGTERM && *status != 0) {
      this->history.add_violation(absl::StrCat(node.process->options().name, " ended with status ", *status));
    }
    node.process->start();
    node.interruptions.end();
    if (signal == SIGKILL) {
      node.unplanned_faults.end();
    }
  }
  void pause_node() {
    auto& node = this->random_node();
    node.unplanned_faults.begin();
    node.interruptions.begin();
    node.process->signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{100 + this->random_below(2000)});
    node.process->signal(SIGCONT);
    node.interruptions.end();
    node.unplanned_faults.end();
  }
  void reload_settings() { this->random_node().process->signal(SIGHUP); }
  void inject_caller_link_fault() {
    auto& node = this->random_node();
    this->inject_link_fault(node.unplanned_faults, *node.caller_proxy);
  }
  void inject_store_link_fault() {
    this->inject_link_fault(this->store_side_faults, *this->random_node().store_proxy);
  }
  void inject_backend_link_fault() {
    auto& selected = this->random_backend();
    const auto state = this->random_fault_state();
    this->apply_temporarily(
        this->backend_faults, 2000,
        [&] {
          ++selected.active_faults;
          selected.proxy->set_state(state);
        },
        [&selected] {
          selected.proxy->set_state(link_state::open);
          --selected.active_faults;
        });
  }
  [[nodiscard]] link_state random_fault_state() {
    constexpr std::array<link_state, 4> states{link_state::slow, link_state::reset, link_state::stalled,
                                               link_state::stalled_responses};
    return states.at(this->random_below(states.size()));
  }
  void inject_link_fault(fault_window& scope, fault_proxy& proxy) {
    const auto state = this->random_fault_state();
    this->apply_temporarily(
        scope, 2000, [&] { proxy.set_state(state); }, [&proxy] { proxy.set_state(link_state::open); });
  }
  void inject_store_fault() {
    constexpr std::array<standins::store_faults, 5> fault_kinds{{{.error_status = 503},
                                                                 {.close_connections = true},
                                                                 {.unresponsive_ms = 600},
                                                                 {.lost_responses = 3},
                                                                 {.suppress_watch_events = true}}};
    const auto& selected_faults = fault_kinds.at(this->random_below(fault_kinds.size()));
    this->apply_temporarily(
        this->store_side_faults, 2500, [&] { this->store.set_faults(selected_faults); },
        [this] { this->store.set_faults({}); });
    if (this->random_below(3) == 0) {
      this->store.discard_history();
    }
  }
  void change_configuration() { this->write_configuration(++this->configuration_number); }
  void drain_backend() { this->random_backend().server->set_draining(this->random_below(3) != 0); }
  void replace_backend() {
    this->backend_faults.begin();
    this->random_backend().server->replace_instance();
    this->backend_faults.end();
  }
  void degrade_backend() {
    auto& selected = this->random_backend();
    const bool is_slow = this->random_below(2) == 0;
    this->apply_temporarily(
        this->backend_faults, 1500,
        [&] {
          ++selected.active_faults;
          is_slow ? selected.server->set_slow(true) : selected.server->set_dropping_responses(true);
        },
        [&selected] {
          selected.server->set_slow(false);
          selected.server->set_dropping_responses(false);
          --selected.active_faults;
        });
  }
  /// A server names a limit, says that it is leaving, or refuses everything because it is busy. It is
  /// replaced by a new instance afterwards if it left.
  void make_statement() {
    if (this->active_statements >= std::min(max_statements, this->backends.size() / 4)) {
      return;
    }
    auto& selected = this->random_backend();
    if (selected.active_faults > 0) {
      return;
    }
    ++this->active_statements;
    selected.makes_statement = true;
    const std::array<own_statement, 3> statements{
        {{.rate_limit = 1 + static_cast<double>(this->random_below(80)) / 10},
         {.is_leaving = true},
         {.busy_s = 1 + static_cast<int>(this->random_below(5))}}};
    const auto& statement = statements.at(this->random_below(statements.size()));
    selected.server->set_statement(
        statement, [this](const auto& node, auto since) { return this->is_calm(node, since); });
    this->fault_threads.emplace_back([this, &selected, is_leaving = statement.is_leaving] {
      std::this_thread::sleep_for(statement_time);
      this->judged_requests += selected.server->judged_requests();
      for (const auto& violation : selected.server->check_statement()) {
        this->history.add_violation(violation);
      }
      selected.server->set_statement({}, {});
      if (is_leaving) {
        selected.server->replace_instance();
      }
      selected.makes_statement = false;
      --this->active_statements;
    });
  }
  /// \param node "q" and the node's number, as in request ids.
  [[nodiscard]] bool is_calm(const std::string& node, clock::time_point since) const {
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      if (node == absl::StrCat("q", i)) {
        return this->nodes[i]->interruptions.was_fault_free_since(since, milliseconds{0});
      }
    }
    return false;
  }

  // Recovery and shutdown.

  void clear_faults() {
    for (auto& thread : this->fault_threads) {
      thread.join();
    }
    this->fault_threads.clear();
    this->store.set_faults({});
    for (auto& backend : this->backends) {
      backend->proxy->set_state(link_state::open);
      backend->server->set_draining(false);
    }
    for (auto& node : this->nodes) {
      node->caller_proxy->set_state(link_state::open);
      node->store_proxy->set_state(link_state::open);
    }
  }
  void wait_until_ready(const char* when) {
    for (auto& node : this->nodes) {
      const auto end = clock::now() + milliseconds{recovery_timeout_ms};
      http_call readiness_call;
      const auto& ports = node->process->options().ports;
      readiness_call.url = absl::StrCat("http://", ports.ip, ":", ports.readiness_port, "/");
      constexpr long status_ok = 200;
      while (perform(readiness_call).status != status_ok) {
        if (clock::now() > end) {
          this->history.add_violation(absl::StrCat(node->process->options().name, " is not ready ", when));
          break;
        }
        std::this_thread::sleep_for(milliseconds{20});
      }
    }
  }
  /// Checks that every node serves `required_in_a_row` successive requests again. Single requests before that
  /// may fail because a backend server is still being health-checked.
  void check_requests_succeed() {
    for (auto& node : this->nodes) {
      caller client{this->history, node->caller_proxy->port()};
      const auto end = clock::now() + milliseconds{recovery_timeout_ms};
      constexpr int required_in_a_row = 10;
      constexpr int status_ok = 200;
      int in_a_row = 0;
      for (int i = 0; in_a_row < required_in_a_row; ++i) {
        const sent_request request{absl::StrCat("last-", node->process->options().name, "-", i), "GET",
                                   "/r0/1", "", true};
        const auto result = client.send_request(request, caller_deadline_ms, caller_timeout_ms);
        this->history.on_request_finished(request.id, result);
        in_a_row = result.status == status_ok ? in_a_row + 1 : 0;
        if (clock::now() > end) {
          this->history.add_violation(node->process->options().name + " does not serve after the last fault");
          break;
        }
      }
    }
  }
  void stop_all_nodes() {
    for (auto& node : this->nodes) {
      node->process->signal(SIGTERM);
    }
    for (auto& node : this->nodes) {
      if (!node->process->wait_for_exit(stop_timeout_ms + stop_margin_ms)) {
        this->history.add_violation(node->process->options().name + " did not stop at the end");
      }
    }
  }

  soak_options options;
  std::mt19937_64 random;
  clock::time_point started_at{clock::now()};
  request_history history;
  standins::platform_store store{5};
  standins::threaded_http_server store_server{
      0, [this](const auto& request) { return this->store.handle(request); }};
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> network_work_guard{
      this->context.get_executor()};
  std::thread network_thread;
  // Faults of backend servers and their connections, which can affect requests at every node.
  fault_window backend_faults;
  // Faults of the store and the connections to it. Never consulted: they don't excuse a lost request.
  fault_window store_side_faults;
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
};

const std::array<soak_run::fault, 15> soak_run::faults{
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

}  // namespace
}  // namespace zinnia::soak

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  zinnia::soak::soak_options parsed_options;
  po::options_description options{"fault_soak: runs zinniad nodes under random faults"};
  auto add = options.add_options();
  add("help", "print this text");
  add("program", po::value(&parsed_options.program)->default_value("build/zinniad"),
      "path of the zinniad program");
  add("seed", po::value(&parsed_options.seed)->default_value(1), "seed of the fault schedule");
  add("seconds", po::value(&parsed_options.seconds)->default_value(10),
      "seconds during which faults are injected; 1 to 3600");
  add("nodes", po::value(&parsed_options.nodes)->default_value(5), "node processes; 2 to 200");
  add("backends", po::value(&parsed_options.backends)->default_value(8), "backend servers; 2 to 200");
  add("logs", po::value(&parsed_options.log_directory)->default_value("soak-logs"),
      "directory for the logs of the nodes");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "soak: " << error.what() << '\n' << options;
    return zinnia::soak::exit_usage_error;
  }
  if (values.contains("help")) {
    std::cout << options;
    return 0;
  }
  constexpr int max_count = 200;
  constexpr int max_seconds = 3600;
  if (parsed_options.seconds < 1 || parsed_options.seconds > max_seconds || parsed_options.nodes < 2 ||
      parsed_options.nodes > max_count || parsed_options.backends < 2 ||
      parsed_options.backends > max_count) {
    std::cerr << "soak: an option is out of its range\n" << options;
    return zinnia::soak::exit_usage_error;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return zinnia::soak::soak_run{parsed_options}.run();
}
