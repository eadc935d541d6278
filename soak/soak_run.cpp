// Starts everything, runs the callers and the schedule of faults, and checks that the nodes recover.
#include "soak_run.hpp"

#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "zinnia/store/http_call.hpp"

namespace zinnia::soak {
namespace impl {
namespace {

constexpr int exit_violation = 1;
/// The time for which a fault can still affect requests after it ended: nodes detect the loss, stop using
/// what was lost and check it again first.
constexpr milliseconds fault_effect_margin{3500};
/// The time within which every node must be ready after the last fault.
constexpr int recovery_timeout_ms = 30'000;
constexpr const char* loopback = "127.0.0.1";
constexpr int callers_per_node = 3;
constexpr int route_count = 12;
/// One body in so many is sent in two pieces.
constexpr std::size_t slow_body_interval = 5;
constexpr std::size_t max_body_pause_ms = 900;
/// Added to such a body while only stops are tried.
constexpr std::size_t upload_bytes = 200'000;
/// Longest pause of a caller between two requests that crash servers.
constexpr std::size_t max_crashing_pause_ms = 400;
/// A Retry-After in seconds that only quarantined requests get.
constexpr double min_quarantine_s = 30;

void join_all(std::vector<std::thread>& threads) {
  for (auto& thread : threads) {
    thread.join();
  }
  threads.clear();
}

}  // namespace
}  // namespace impl

int soak_run::run() {
  this->wait_until_ready("at the start");
  for (std::size_t node = 0; node < this->nodes.size(); ++node) {
    for (int index = 0; index < impl::callers_per_node; ++index) {
      this->caller_threads.emplace_back([this, node, index] { this->run_caller(node, index); });
    }
    this->caller_threads.emplace_back([this, node] { this->probe_routes(node); });
  }
  if (!this->options.only_stops) {
    this->caller_threads.emplace_back([this] { this->send_crashing_requests(); });
  }
  const auto end = clock::now() + std::chrono::seconds{this->options.seconds};
  const auto schedule = this->options.restores_store ? std::span<const fault>{restore_faults}
                        : this->options.only_stops   ? std::span<const fault>{planned_changes}
                                                     : std::span<const fault>{mixed_faults};
  while (clock::now() < end) {
    const auto& selected = schedule[this->random_below(schedule.size())];
    this->log_event(selected.name);
    (this->*selected.inject)();
    std::this_thread::sleep_for(milliseconds{50 + this->random_below(500)});
  }
  this->clear_faults();
  this->wait_until_ready("after the last fault");
  this->check_requests_succeed();
  this->stopping = true;
  impl::join_all(this->caller_threads);
  this->stop_all_nodes();
  impl::join_all(this->crash_threads);
  if (const auto broken = this->crashing.check()) {
    this->history.add_violation(*broken);
  }
  for (const auto& broken : this->edits.check()) {
    this->history.add_violation(broken);
  }
  const auto violations = this->history.check_at_end();
  std::cout << "seed " << this->options.seed << ": " << this->history.summary()
            << ", judged by a server's statement: " << this->judged_requests
            << ", servers crashed by a request: " << this->crashing.crashes() << ", " << this->edits.summary()
            << '\n';
  for (const auto& violation : violations) {
    std::cout << "BROKEN " << violation << '\n';
  }
  return violations.empty() ? 0 : impl::exit_violation;
}

void soak_run::log_event(const std::string& text) const {
  const std::chrono::duration<double> elapsed = clock::now() - this->started_at;
  std::cerr << elapsed.count() << " s " << text << '\n';
}

backend_under_test& soak_run::random_backend() {
  std::size_t index = this->random_below(this->backends.size());
  while (this->backends.at(index)->is_reserved) {
    index = (index + 1) % this->backends.size();
  }
  return *this->backends.at(index);
}

void soak_run::set_up() {
  std::filesystem::create_directories(this->options.log_directory);
  this->network_thread = std::thread{[this] { this->context.run(); }};
  this->write_configuration(1);
  for (int i = 0; i < this->options.backends; ++i) {
    auto created = std::make_unique<backend_under_test>();
    created->server = std::make_unique<backend>(this->history, this->writer, "b" + std::to_string(i),
                                                i % 2 == 0 ? "a" : "b");
    created->proxy = std::make_unique<fault_proxy>(this->context, impl::loopback, created->server->port());
    created->server->on_crashing_request = [this, crashed = created.get()](const std::string& node) {
      this->crash(*crashed, node);
    };
    created->server->on_request = [this](const std::string& instance, const std::string& domain,
                                         const std::string& node) {
      const auto process = this->process_of(node);
      this->edits.on_handled(handling::sent_to_server, instance, process, clock::now());
      this->edits.on_handled(handling::sent_to_domain, domain, process, clock::now());
    };
    created->server->register_at(created->proxy->port());
    this->backends.push_back(std::move(created));
  }
  for (int i = 0; i < this->options.nodes; ++i) {
    auto created = std::make_unique<node_under_test>();
    const auto name = "n" + std::to_string(i);
    created->store_proxy =
        std::make_unique<fault_proxy>(this->context, impl::loopback, this->store_server.port());
    // Failure domain a has two large nodes that serve and a small one that stands by; all others are large
    // and in failure domain b.
    created->process = std::make_unique<node_process>(
        node_options{this->options.program, name, "r", i < 3 ? "a" : "b", i != 2, find_free_ports(i),
                     created->store_proxy->port(),
                     this->options.only_stops && i % 2 == 1 ? short_stop_limit_ms : stop_timeout_ms,
                     this->options.log_directory + "/" + name + ".log"});
    created->caller_proxy = std::make_unique<fault_proxy>(this->context, created->process->options().ports.ip,
                                                          created->process->options().ports.caller_port);
    created->process->start();
    this->nodes.push_back(std::move(created));
  }
}

void soak_run::write_configuration(int number) {
  nlohmann::json routes = nlohmann::json::array();
  const auto add_route = [&](const std::string& path, int i) {
    routes.push_back(
        {{"name", path.substr(1, path.size() - 2)},
         {"kind", i % 2 == 0 ? "safe" : "unsafe"},
         {"targetLatencyMs", 200},
         {"priority", i % 3},
         {"sticky", i % 4 < 2},
         {"match", {{"pathPrefix", path}}},
         {"action", {{"service", "desk"}, {"timeoutMs", 800 + 100 * (number % 3)}, {"maxAttempts", 3}}}});
  };
  for (int i = 0; i < impl::route_count; ++i) {
    add_route(absl::StrCat("/r", i, "/"), i);
  }
  for (const auto& path : this->added_routes) {
    add_route(path, 0);
  }
  this->writer.put("config", "main",
                   {{"version", absl::StrCat(absl::Hex(number, absl::kZeroPad8))},
                    {"listeners", {{{"host", "soak.example"}, {"rules", routes}}}},
                    {"clusters", {{{"name", "desk"}, {"healthPath", "/health"}, {"maxConnections", 200}}}}});
}

void soak_run::run_caller(std::size_t node_index, int caller_index) {
  auto& node = *this->nodes.at(node_index);
  caller client{this->history, node.caller_proxy->port()};
  std::mt19937_64 generator{this->options.seed * 1000 + node_index * 10 +
                            static_cast<std::uint64_t>(caller_index)};
  for (int i = 0; !this->stopping; ++i) {
    const auto route = generator() % impl::route_count;
    sent_request request;
    request.id = absl::StrCat("q", node_index, "-", caller_index, "-", i);
    request.is_repeatable = route % 2 == 0;
    request.method = request.is_repeatable ? "GET" : "POST";
    request.path = absl::StrCat("/r", route, "/", generator() % 20);
    request.body = request.is_repeatable ? "" : "body of " + request.id;
    if (!request.is_repeatable && generator() % impl::slow_body_interval == 0) {
      request.pause_ms = static_cast<int>(generator() % impl::max_body_pause_ms);
      request.body.append(this->options.only_stops ? impl::upload_bytes : 0, 'u');
    }
    const auto sent_at = clock::now();
    const auto stalled_before = this->proxy_stalls.total();
    // Some requests are abandoned early.
    const int timeout_ms = generator() % 20 == 0 ? static_cast<int>(generator() % 100) : caller_timeout_ms;
    auto result = client.send_request(request, caller_deadline_ms, timeout_ms);
    result.node = node.process->options().name;
    result.stalled_ms = static_cast<int>((this->proxy_stalls.total() - stalled_before).count());
    result.was_fault_free = node.unplanned_faults.was_fault_free_since(sent_at, impl::fault_effect_margin) &&
                            this->backend_faults.was_fault_free_since(sent_at, impl::fault_effect_margin);
    this->history.on_request_finished(request.id, result);
    if (result.retry_after_s >= impl::min_quarantine_s) {
      this->history.add_violation(
          absl::StrCat("request ", request.id, ": was quarantined and never crashed a server"));
    }
    std::this_thread::sleep_for(milliseconds{generator() % 30});
  }
}

void soak_run::send_crashing_requests() {
  std::mt19937_64 generator{this->options.seed};
  for (std::size_t i = 0; !this->stopping; ++i) {
    const auto node = generator() % this->nodes.size();
    caller client{this->history, this->nodes.at(node)->caller_proxy->port()};
    const sent_request request{absl::StrCat("q", node, "-crash-", i), "GET", crashing_path, "", true};
    this->history.on_request_finished(request.id,
                                      client.send_request(request, caller_deadline_ms, caller_timeout_ms));
    std::this_thread::sleep_for(milliseconds{generator() % impl::max_crashing_pause_ms});
  }
}

void soak_run::clear_faults() {
  impl::join_all(this->fault_threads);
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

void soak_run::wait_until_ready(const char* when) {
  for (auto& node : this->nodes) {
    const auto end = clock::now() + milliseconds{impl::recovery_timeout_ms};
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

void soak_run::check_requests_succeed() {
  for (auto& node : this->nodes) {
    caller client{this->history, node->caller_proxy->port()};
    const auto end = clock::now() + milliseconds{impl::recovery_timeout_ms};
    constexpr int required_in_a_row = 10;
    constexpr int status_ok = 200;
    int in_a_row = 0;
    for (int i = 0; in_a_row < required_in_a_row; ++i) {
      const sent_request request{absl::StrCat("q", node->process->options().name.substr(1), "-last-", i),
                                 "GET", "/r0/1", "", true};
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

void soak_run::stop_all_nodes() {
  for (auto& node : this->nodes) {
    node->process->signal(SIGTERM);
  }
  for (auto& node : this->nodes) {
    if (!node->process->wait_for_exit(node->process->options().stop_limit_ms + stop_margin_ms)) {
      this->history.add_violation(node->process->options().name + " did not stop at the end");
    }
  }
}

}  // namespace zinnia::soak
