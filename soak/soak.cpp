// A random soak: real nodes as processes, faults from outside, promises checked from what callers and backend
// servers see.
//
// Usage: soak --program build/zinniad --seed 7 --seconds 20
// The seed fixes the schedule of faults; the machine's own timing differs from run to run. Exit status 1 if a
// promise was broken.
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
#include "fault_proxy.hpp"
#include "node_process.hpp"
#include "zinnia/store/http_call.hpp"

namespace zinnia::soak {
namespace {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;

constexpr int exit_broken = 1;
constexpr int exit_bad_input = 2;
/// What a node may take to stop, and what the machine may add.
constexpr int stop_limit_ms = 6000;
constexpr int stop_slack_ms = 4000;
/// Time within which every node is ready again after the last fault.
constexpr int recovery_limit_ms = 30'000;
/// How long a disturbance may still show after it ended: a node that was lost is noticed, left alone and
/// checked again.
constexpr milliseconds disturbance_margin{3500};
constexpr const char* loopback = "127.0.0.1";
constexpr int caller_deadline_ms = 1200;
constexpr int caller_limit_ms = 3000;
constexpr int callers_per_node = 3;
constexpr int routes = 12;

struct soak_options {
  std::string program;
  std::uint64_t seed{1};
  int seconds{10};
  int nodes{5};
  int backends{8};
  std::string directory;
};

/// Whether a part of the system is disturbed, and when it was last; disturbances may overlap.
class disturbance {
 public:
  void begin() { ++this->active; }
  void end() {
    this->until = clock::now();
    --this->active;
  }
  /// \brief Whether nothing was disturbed from a while before a moment until now.
  [[nodiscard]] bool spares(clock::time_point from) const {
    return this->active == 0 && this->until.load() + disturbance_margin < from;
  }

 private:
  std::atomic<int> active{0};
  std::atomic<clock::time_point> until{clock::time_point{}};
};

struct node_under_test {
  std::unique_ptr<node_process> process;
  std::unique_ptr<fault_proxy> callers;
  std::unique_ptr<fault_proxy> store;
  disturbance unplanned;
  std::atomic<bool> restarting{false};
};

struct server_under_test {
  std::unique_ptr<backend> server;
  std::unique_ptr<fault_proxy> proxy;
};

class soak {
 public:
  explicit soak(soak_options given) : options{std::move(given)}, random{this->options.seed} { this->build(); }
  soak(const soak&) = delete;
  soak& operator=(const soak&) = delete;
  soak(soak&&) = delete;
  soak& operator=(soak&&) = delete;
  ~soak() {
    // The proxies are used by the network's thread until it has ended.
    this->context.stop();
    this->network.join();
  }

  [[nodiscard]] int run() {
    this->wait_ready("at the start");
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      for (int k = 0; k < callers_per_node; ++k) {
        this->threads.emplace_back([this, i, k] { this->call(i, k); });
      }
    }
    const auto end = clock::now() + std::chrono::seconds{this->options.seconds};
    while (clock::now() < end) {
      const auto& chosen = faults.at(this->pick(faults.size()));
      this->say(chosen.name);
      (this->*chosen.play)();
      std::this_thread::sleep_for(milliseconds{50 + this->pick(500)});
    }
    this->calm_down();
    this->wait_ready("after the last fault");
    this->check_service();
    this->stopping = true;
    for (auto& thread : this->threads) {
      thread.join();
    }
    this->stop_all();
    const auto findings = this->book.close();
    std::cout << "seed " << this->options.seed << ": " << this->book.summary() << '\n';
    for (const auto& finding : findings) {
      std::cout << "BROKEN " << finding << '\n';
    }
    return findings.empty() ? 0 : exit_broken;
  }

 private:
  struct fault {
    const char* name;
    void (soak::*play)();
  };
  static const std::array<fault, 14> faults;

  [[nodiscard]] std::size_t pick(std::size_t below) { return this->random() % below; }
  [[nodiscard]] node_under_test& any_node() { return *this->nodes.at(this->pick(this->nodes.size())); }
  [[nodiscard]] server_under_test& any_server() {
    return *this->servers.at(this->pick(this->servers.size()));
  }
  void say(const std::string& text) const {
    const std::chrono::duration<double> at = clock::now() - this->began;
    std::cerr << at.count() << " s " << text << '\n';
  }

  void build() {
    std::filesystem::create_directories(this->options.directory);
    this->network = std::thread{[this] { this->context.run(); }};
    this->configure(1);
    for (int i = 0; i < this->options.backends; ++i) {
      auto made = std::make_unique<server_under_test>();
      made->server =
          std::make_unique<backend>(this->book, this->store, "b" + std::to_string(i), i % 2 == 0 ? "a" : "b");
      made->proxy = std::make_unique<fault_proxy>(this->context, loopback, made->server->port());
      made->server->enter(made->proxy->port());
      this->servers.push_back(std::move(made));
    }
    for (int i = 0; i < this->options.nodes; ++i) {
      auto made = std::make_unique<node_under_test>();
      const auto name = "n" + std::to_string(i);
      made->store = std::make_unique<fault_proxy>(this->context, loopback, this->store_server.port());
      // Two large nodes, the rest stand by in the same failure domain or serve in the other one.
      made->process = std::make_unique<node_process>(
          node_start{this->options.program, name, "r", i < 3 ? "a" : "b", i != 2, pick_ports(i),
                     made->store->port(), this->options.directory + "/" + name + ".log"});
      made->callers = std::make_unique<fault_proxy>(this->context, made->process->started().ports.ip,
                                                    made->process->started().ports.callers);
      made->process->start();
      this->nodes.push_back(std::move(made));
    }
  }

  void configure(int number) {
    nlohmann::json rules = nlohmann::json::array();
    for (int i = 0; i < routes; ++i) {
      const bool safe = i % 2 == 0;
      rules.push_back(
          {{"name", absl::StrCat("r", i)},
           {"kind", safe ? "safe" : "unsafe"},
           {"targetLatencyMs", 200},
           {"priority", i % 3},
           {"sticky", i % 4 < 2},
           {"match", {{"pathPrefix", absl::StrCat("/r", i, "/")}}},
           {"action", {{"service", "desk"}, {"timeoutMs", 800 + 100 * (number % 3)}, {"maxAttempts", 3}}}});
    }
    std::array<char, 9> text{};
    static_cast<void>(std::snprintf(text.data(), text.size(), "%08x", static_cast<unsigned>(number)));
    this->store.put("config", "main",
                    {{"version", text.data()},
                     {"listeners", {{{"host", "soak.example"}, {"rules", rules}}}},
                     {"clusters", {{{"name", "desk"}, {"healthPath", "/health"}, {"maxConnections", 200}}}}});
  }

  // Callers.

  void call(std::size_t at, int which) {
    auto& node = *this->nodes.at(at);
    caller client{this->book, node.callers->port()};
    std::mt19937_64 own{this->options.seed * 1000 + at * 10 + static_cast<std::uint64_t>(which)};
    for (int i = 0; !this->stopping; ++i) {
      const auto route = own() % routes;
      sent_request request;
      request.id = absl::StrCat("q", at, "-", which, "-", i);
      request.repeatable = route % 2 == 0;
      request.method = request.repeatable ? "GET" : "POST";
      request.path = absl::StrCat("/r", route, "/", own() % 20);
      request.body = request.repeatable ? "" : "body of " + request.id;
      const auto from = clock::now();
      // Some leave early.
      const int limit = own() % 20 == 0 ? static_cast<int>(own() % 100) : caller_limit_ms;
      auto answer = client.ask(request, caller_deadline_ms, limit);
      answer.node = node.process->started().name;
      answer.undisturbed = node.unplanned.spares(from) && this->shared.spares(from);
      this->book.on_answer(request.id, answer);
      std::this_thread::sleep_for(milliseconds{own() % 30});
    }
  }

  // Faults. Those with a length run beside the next ones and end by themselves.

  /// Does something now and undoes it after a while.
  void for_a_while(disturbance& scope, std::size_t most_ms, const std::function<void()>& begin,
                   std::function<void()> end) {
    scope.begin();
    begin();
    const milliseconds length{100 + this->pick(most_ms)};
    this->lasting.emplace_back([&scope, length, end = std::move(end)] {
      std::this_thread::sleep_for(length);
      end();
      scope.end();
    });
  }
  void kill_node() { this->restart(this->any_node(), SIGKILL); }
  void stop_node() { this->restart(this->any_node(), SIGTERM); }
  void stop_all_in_turn() {
    for (auto& node : this->nodes) {
      this->restart(*node, SIGTERM);
    }
  }
  void kill_many() {
    for (auto& node : this->nodes) {
      if (this->pick(2) == 0) {
        this->restart(*node, SIGKILL);
      }
    }
  }
  void restart(node_under_test& node, int signal) {
    if (!node.restarting.exchange(true)) {
      this->lasting.emplace_back([this, &node, signal] {
        this->stop_and_start(node, signal);
        node.restarting = false;
      });
    }
  }
  void stop_and_start(node_under_test& node, int signal) {
    if (signal == SIGKILL) {
      node.unplanned.begin();
    }
    node.process->signal(signal);
    const auto status = node.process->wait(stop_limit_ms + stop_slack_ms);
    if (!status) {
      this->book.add_finding(node.process->started().name + " did not stop in time");
      node.process->signal(SIGKILL);
      static_cast<void>(node.process->wait(stop_limit_ms));
    } else if (signal == SIGTERM && *status != 0) {
      this->book.add_finding(absl::StrCat(node.process->started().name, " ended with status ", *status));
    }
    node.process->start();
    if (signal == SIGKILL) {
      node.unplanned.end();
    }
  }
  void pause_node() {
    auto& node = this->any_node();
    node.unplanned.begin();
    node.process->signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{100 + this->pick(2000)});
    node.process->signal(SIGCONT);
    node.unplanned.end();
  }
  void hang_up() { this->any_node().process->signal(SIGHUP); }
  void disturb_callers() {
    auto& node = this->any_node();
    this->disturb(node.unplanned, *node.callers);
  }
  void disturb_store_link() { this->disturb(this->store_only, *this->any_node().store); }
  void disturb_server_link() { this->disturb(this->shared, *this->any_server().proxy); }
  void disturb(disturbance& scope, fault_proxy& proxy) {
    constexpr std::array<link_state, 4> states{link_state::slow, link_state::reset, link_state::silent,
                                               link_state::silent_answers};
    const auto state = states.at(this->pick(states.size()));
    this->for_a_while(
        scope, 2000, [&] { proxy.set(state); }, [&proxy] { proxy.set(link_state::open); });
  }
  void disturb_store() {
    constexpr std::array<standins::store_faults, 5> kinds{{{.error_status = 503},
                                                           {.close_connections = true},
                                                           {.unresponsive_ms = 600},
                                                           {.lost_responses = 3},
                                                           {.suppress_watch_events = true}}};
    const auto& kind = kinds.at(this->pick(kinds.size()));
    this->for_a_while(
        this->store_only, 2500, [&] { this->store.set_faults(kind); },
        [this] { this->store.set_faults({}); });
    if (this->pick(3) == 0) {
      this->store.discard_history();
    }
  }
  void change_configuration() { this->configure(++this->version); }
  void drain_server() { this->any_server().server->drain(this->pick(3) != 0); }
  void replace_server() {
    this->shared.begin();
    this->any_server().server->replace();
    this->shared.end();
  }
  void harm_server() {
    auto* const server = this->any_server().server.get();
    const bool slow = this->pick(2) == 0;
    this->for_a_while(
        this->shared, 1500, [&] { slow ? server->slow_down(true) : server->lose_answers(true); },
        [server] {
          server->slow_down(false);
          server->lose_answers(false);
        });
  }

  // The end.

  void calm_down() {
    for (auto& thread : this->lasting) {
      thread.join();
    }
    this->lasting.clear();
    this->store.set_faults({});
    for (auto& server : this->servers) {
      server->proxy->set(link_state::open);
      server->server->drain(false);
    }
    for (auto& node : this->nodes) {
      node->callers->set(link_state::open);
      node->store->set(link_state::open);
    }
  }
  void wait_ready(const char* when) {
    for (auto& node : this->nodes) {
      const auto end = clock::now() + milliseconds{recovery_limit_ms};
      http_call question;
      const auto& ports = node->process->started().ports;
      question.url = absl::StrCat("http://", ports.ip, ":", ports.readiness, "/");
      constexpr long status_ok = 200;
      while (perform(question).status != status_ok) {
        if (clock::now() > end) {
          this->book.add_finding(absl::StrCat(node->process->started().name, " is not ready ", when));
          break;
        }
        std::this_thread::sleep_for(milliseconds{20});
      }
    }
  }
  /// Every node serves again; a request or two may still meet a server that is being checked.
  void check_service() {
    for (auto& node : this->nodes) {
      caller client{this->book, node->callers->port()};
      const auto end = clock::now() + milliseconds{recovery_limit_ms};
      constexpr int wanted_in_a_row = 10;
      constexpr int status_ok = 200;
      int in_a_row = 0;
      for (int i = 0; in_a_row < wanted_in_a_row; ++i) {
        const sent_request request{absl::StrCat("last-", node->process->started().name, "-", i), "GET",
                                   "/r0/1", "", true};
        const auto answer = client.ask(request, caller_deadline_ms, caller_limit_ms);
        this->book.on_answer(request.id, answer);
        in_a_row = answer.status == status_ok ? in_a_row + 1 : 0;
        if (clock::now() > end) {
          this->book.add_finding(node->process->started().name + " does not serve after the last fault");
          break;
        }
      }
    }
  }
  void stop_all() {
    for (auto& node : this->nodes) {
      node->process->signal(SIGTERM);
    }
    for (auto& node : this->nodes) {
      if (!node->process->wait(stop_limit_ms + stop_slack_ms)) {
        this->book.add_finding(node->process->started().name + " did not stop at the end");
      }
    }
  }

  soak_options options;
  std::mt19937_64 random;
  clock::time_point began{clock::now()};
  ledger book;
  standins::platform_store store{5};
  standins::threaded_http_server store_server{
      0, [this](const auto& request) { return this->store.handle(request); }};
  boost::asio::io_context context{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work{this->context.get_executor()};
  std::thread network;
  // Disturbances of all backend servers' callers, and of the store, which excuses no lost request.
  disturbance shared;
  disturbance store_only;
  std::vector<std::unique_ptr<server_under_test>> servers;
  std::vector<std::unique_ptr<node_under_test>> nodes;
  std::vector<std::thread> threads;
  std::vector<std::thread> lasting;
  std::atomic<bool> stopping{false};
  int version{1};
};

const std::array<soak::fault, 14> soak::faults{{{"kill a node", &soak::kill_node},
                                                {"stop a node", &soak::stop_node},
                                                {"stop all nodes in turn", &soak::stop_all_in_turn},
                                                {"kill many nodes", &soak::kill_many},
                                                {"pause a node", &soak::pause_node},
                                                {"settings changed", &soak::hang_up},
                                                {"callers' link", &soak::disturb_callers},
                                                {"a node's link to the store", &soak::disturb_store_link},
                                                {"a server's link", &soak::disturb_server_link},
                                                {"the store", &soak::disturb_store},
                                                {"configuration", &soak::change_configuration},
                                                {"drain a server", &soak::drain_server},
                                                {"replace a server", &soak::replace_server},
                                                {"harm a server", &soak::harm_server}}};

}  // namespace
}  // namespace zinnia::soak

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  zinnia::soak::soak_options given;
  po::options_description options{"soak: real nodes under random faults"};
  auto add = options.add_options();
  add("help", "print this text");
  add("program", po::value(&given.program)->default_value("build/zinniad"), "the node's program");
  add("seed", po::value(&given.seed)->default_value(1), "schedule of faults");
  add("seconds", po::value(&given.seconds)->default_value(10), "time during which faults begin; 1 to 3600");
  add("nodes", po::value(&given.nodes)->default_value(5), "node processes; 2 to 200");
  add("backends", po::value(&given.backends)->default_value(8), "backend servers; 2 to 200");
  add("logs", po::value(&given.directory)->default_value("soak-logs"), "folder for the nodes' logs");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& problem) {
    std::cerr << "soak: " << problem.what() << '\n' << options;
    return zinnia::soak::exit_bad_input;
  }
  if (values.contains("help")) {
    std::cout << options;
    return 0;
  }
  constexpr int most = 200;
  constexpr int longest_s = 3600;
  if (given.seconds < 1 || given.seconds > longest_s || given.nodes < 2 || given.nodes > most ||
      given.backends < 2 || given.backends > most) {
    std::cerr << "soak: a number is out of its range\n" << options;
    return zinnia::soak::exit_bad_input;
  }
  std::signal(SIGPIPE, SIG_IGN);
  return zinnia::soak::soak{given}.run();
}
