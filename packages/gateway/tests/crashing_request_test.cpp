// Requests that crash each backend server that runs them, and servers that crash for other reasons.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include "standins/raw_tcp_client.hpp"
#include "standins/scripted_tcp_server.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/http_listener.hpp"

using namespace zinnia;
using standins::raw_tcp_client;
using standins::scripted_response;
using standins::scripted_tcp_server;

namespace {

constexpr int crashes_until_known = 3;
constexpr int max_later_sends = 3;

/// What a server does with a request.
[[nodiscard]] scripted_response crash_response() {
  scripted_response response;
  response.crash = true;
  return response;
}
[[nodiscard]] scripted_response good_response() {
  return {"HTTP/1.1 200 X\r\nX-Answer-Stamp: s\r\nContent-Length: 0\r\n\r\n", true};
}

/// A clock with which no suspicion ends by time.
class stopped_clock final : public clock_source {
 public:
  [[nodiscard]] time_point now() const noexcept override { return {1'000'000}; }
};

struct node {
  metrics counts;
  std::unique_ptr<gateway> traffic;
  std::unique_ptr<http_listener> listener;
  std::uint16_t port{0};
};

/// Nodes in one process that send each other their reports, before the same servers.
class crashing_request : public testing::Test {
 protected:
  static constexpr int server_count = 16;

  void TearDown() override {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }
  void add_server(std::function<scripted_response(int)> script) {
    this->servers.push_back(std::make_unique<scripted_tcp_server>(std::move(script), good_response()));
  }
  void add_servers_that_crash() {
    for (int i = 0; i < server_count; ++i) {
      this->add_server([](int) { return crash_response(); });
    }
  }
  void start(request_kind kind, int node_count = 1) {
    for (int i = 0; i < node_count; ++i) {
      this->add_node(kind);
    }
    this->thread = std::thread{[this] { this->context.run(); }};
  }
  /// Called before the nodes run or on their thread.
  void add_node(request_kind kind) {
    auto& added = *this->nodes.emplace_back(std::make_unique<node>());
    gateway_options options;
    options.self = node_id{"n" + std::to_string(this->nodes.size())};
    options.own_location = {failure_domain_id{"d"}, region_id{"r"}};
    options.regions = {{failure_domain_id{"d"}, region_id{"r"}}};
    options.retry_budget = {0.2, 100, duration{10'000}};
    options.send_crash_reports = [this, sender = &added](const auto& reports) {
      this->deliver(*sender, reports);
    };
    options.repeat_crash_reports = options.send_crash_reports;
    added.traffic = std::make_unique<gateway>(this->context, *this->clock, added.counts, options);
    added.traffic->apply(std::make_shared<const routing_snapshot>(this->make_snapshot(kind)));
    added.listener = std::make_unique<http_listener>(
        this->context, *this->clock, 1000,
        [&added](const std::shared_ptr<caller_exchange>& exchange) { added.traffic->handle(exchange); });
    added.port = *added.listener->listen({boost::asio::ip::address_v4::loopback(), 0});
  }
  void deliver(const node& sender, const std::vector<crash_report>& reports) {
    boost::asio::post(this->context, [this, &sender, reports] {
      for (const auto& each : this->nodes) {
        if (each.get() != &sender) {
          each->traffic->apply_crash_reports(reports);
        }
      }
    });
  }
  [[nodiscard]] routing_snapshot make_snapshot(request_kind kind) const {
    routing_snapshot snapshot;
    snapshot.sequence = 1;
    snapshot.version = config_version{1};
    snapshot.services[service_id{"desk"}] = {service_id{"desk"}, "/health", 1000, 0};
    route added;
    added.host = "h";
    added.prefix = "/x/";
    added.kind = kind;
    added.max_attempts = 2;
    added.timeout = duration{5000};
    added.destinations = {{service_id{"desk"}, 1}};
    snapshot.routes = std::make_shared<const route_table>(std::vector<route>{added});
    for (std::size_t i = 0; i < this->servers.size(); ++i) {
      backend_declaration backend;
      backend.id = backend_id{"b" + std::to_string(i)};
      backend.service = service_id{"desk"};
      backend.address = {"127.0.0.1", this->servers[i]->port()};
      backend.domain = failure_domain_id{"d"};
      backend.slots = 64;
      snapshot.backends[backend.id] = backend;
    }
    return snapshot;
  }
  [[nodiscard]] static std::string request_text(const std::string& method, int number,
                                                const std::string& path = "/x/1") {
    return method + " " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r" + std::to_string(number) +
           "\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
  }
  /// Sends the same request under another id to one of the nodes, and returns the status line and the rest.
  [[nodiscard]] std::string send_request(const std::string& method, int number) const {
    raw_tcp_client client{this->nodes[static_cast<std::size_t>(number) % this->nodes.size()]->port};
    client.send(request_text(method, number));
    return client.read_all(10'000);
  }
  /// Runs on the thread of the nodes and returns the result.
  template <class Function>
  [[nodiscard]] auto on_nodes_thread(Function function) {
    std::promise<decltype(function())> done;
    boost::asio::post(this->context, [&] { done.set_value(function()); });
    return done.get_future().get();
  }
  [[nodiscard]] static std::int64_t gauge_value(const node& at, const std::string& name) {
    for (const auto& sample : at.traffic->gauges()) {
      if (sample.name == name) {
        return sample.value;
      }
    }
    return 0;
  }
  /// Waits until the nodes know of each server that did not respond if it still runs, and have told each
  /// other.
  void settle() {
    while (this->on_nodes_thread([&] {
      return std::any_of(this->nodes.begin(), this->nodes.end(), [](const auto& each) {
        return gauge_value(*each, "zinnia_backends_suspected_crashed") != 0;
      });
    })) {
    }
    static_cast<void>(this->on_nodes_thread([] { return 0; }));
  }
  [[nodiscard]] int crashed_servers() const {
    int crashed = 0;
    for (const auto& server : this->servers) {
      crashed += server->has_crashed() ? 1 : 0;
    }
    return crashed;
  }

  boot_clock running_clock;
  stopped_clock stopped;
  const clock_source* clock{&this->running_clock};
  // Used by threads of the servers, which end later than the test.
  std::atomic<int> arrived{0};
  std::vector<std::unique_ptr<scripted_tcp_server>> servers;
  boost::asio::io_context context;
  metrics early_counts;
  std::vector<std::unique_ptr<node>> nodes;
  std::thread thread;
};

TEST_F(crashing_request, that_comes_again_under_other_ids_does_not_crash_server_after_server) {
  this->add_servers_that_crash();
  this->start(request_kind::safe);
  for (int number = 0; number < server_count; ++number) {
    static_cast<void>(this->send_request("GET", number));
    this->settle();
  }
  EXPECT_LE(this->crashed_servers(), crashes_until_known + max_later_sends);
  const auto last = this->send_request("GET", server_count);
  EXPECT_TRUE(last.starts_with("HTTP/1.1 503")) << last;
  EXPECT_NE(last.find("Retry-After: "), std::string::npos) << last;
}

TEST_F(crashing_request, that_is_repeated_at_once_crashes_no_second_server_for_the_same_level) {
  this->add_servers_that_crash();
  this->start(request_kind::safe);
  for (int number = 0; number < server_count; ++number) {
    static_cast<void>(this->send_request("GET", number));
    this->settle();
  }
  EXPECT_EQ(this->crashed_servers(), crashes_until_known);
}

TEST_F(crashing_request, that_is_not_idempotent_does_not_crash_server_after_server) {
  this->add_servers_that_crash();
  this->start(request_kind::unsafe);
  int refused = 0;
  for (int number = 0; number < server_count; ++number) {
    const auto response = this->send_request("POST", number);
    refused += response.starts_with("HTTP/1.1 503") ? 1 : 0;
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503") || response.starts_with("HTTP/1.1 502")) << response;
    this->settle();
  }
  EXPECT_LE(this->crashed_servers(), crashes_until_known + max_later_sends);
  EXPECT_EQ(refused, server_count - this->crashed_servers()) << "a request that ran is said not to have run";
}

TEST_F(crashing_request, that_comes_to_another_node_each_time_does_not_crash_server_after_server) {
  this->add_servers_that_crash();
  this->start(request_kind::safe, 4);
  for (int number = 0; number < server_count; ++number) {
    static_cast<void>(this->send_request("GET", number));
    this->settle();
  }
  EXPECT_LE(this->crashed_servers(), crashes_until_known + max_later_sends);
}

TEST_F(crashing_request, is_refused_by_a_node_that_started_after_the_crashes) {
  this->add_servers_that_crash();
  this->start(request_kind::safe, 2);
  for (int number = 0; number < 6; ++number) {
    static_cast<void>(this->send_request("GET", number));
    this->settle();
  }
  const int crashed_before = this->crashed_servers();
  static_cast<void>(this->on_nodes_thread([&] {
    this->add_node(request_kind::safe);
    return 0;
  }));
  while (this->on_nodes_thread([&] { return gauge_value(*this->nodes[2], "zinnia_requests_quarantined"); }) ==
         0) {
  }
  EXPECT_TRUE(this->send_request("GET", 2).starts_with("HTTP/1.1 503"));
  EXPECT_EQ(this->crashed_servers(), crashed_before);
}

TEST_F(crashing_request, is_refused_by_a_node_that_was_told_before_its_first_configuration) {
  gateway told{this->context, *this->clock, this->early_counts, {}};
  told.apply_crash_reports({{request_fingerprint{1}, 2, 3, 3, duration{100}, duration{900}}});
  told.apply(std::make_shared<const routing_snapshot>(this->make_snapshot(request_kind::safe)));
  const auto gauges = told.gauges();
  EXPECT_TRUE(std::any_of(gauges.begin(), gauges.end(), [](const gauge& sample) {
    return sample.name == "zinnia_requests_quarantined" && sample.value == 1;
  }));
}

TEST_F(crashing_request, that_a_restored_store_lacks_is_written_again_by_one_node_unless_it_was_released) {
  constexpr std::uint64_t requests = 40;
  constexpr std::uint64_t released = 7;
  std::map<std::uint64_t, std::vector<crash_report>> written;
  std::map<node_id, location> serving;
  for (const char* id : {"n1", "n2", "n3"}) {
    serving[node_id{id}] = {failure_domain_id{"d"}, region_id{"r"}};
  }
  std::vector<std::unique_ptr<gateway>> running;
  // The last one stands by.
  for (const char* id : {"n1", "n2", "n3", "n4"}) {
    gateway_options options;
    options.self = node_id{id};
    options.on_quarantine_change = [&](const auto& change) {
      written[change.request.count()].push_back(change);
    };
    auto& added = running.emplace_back(
        std::make_unique<gateway>(this->context, *this->clock, this->early_counts, options));
    added->set_nodes({serving, {region_id{"r"}}, 4});
    added->apply(std::make_shared<const routing_snapshot>(this->make_snapshot(request_kind::safe)));
    for (std::uint64_t request = 1; request <= requests; ++request) {
      added->apply_crash_reports(
          {{request_fingerprint{request}, request, 3, 3, duration{100}, duration{900}}});
    }
    added->apply_crash_reports({{request_fingerprint{released}}});
  }
  EXPECT_TRUE(written.empty()) << "other nodes have found out";
  for (const auto& each : running) {
    each->repeat_quarantine_changes();
  }
  EXPECT_EQ(written.size(), requests);
  for (const auto& [request, changes] : written) {
    ASSERT_EQ(changes.size(), 1U) << request;
    EXPECT_EQ(changes[0].level, request == released ? 0 : 3);
  }
}

TEST_F(crashing_request, does_not_make_nodes_refuse_the_fifty_others_at_the_server) {
  constexpr int others = 50;
  // The first server keeps requests until all have come and then crashes; the second one answers.
  this->add_server([this](int) {
    ++this->arrived;
    while (this->arrived < others) {
      std::this_thread::yield();
    }
    return crash_response();
  });
  this->start(request_kind::safe, 2);
  std::vector<std::unique_ptr<raw_tcp_client>> callers;
  for (int number = 0; number < others; ++number) {
    callers.push_back(
        std::make_unique<raw_tcp_client>(this->nodes[static_cast<std::size_t>(number % 2)]->port));
    callers.back()->send(request_text("GET", number, "/x/" + std::to_string(number)));
  }
  for (const auto& each : callers) {
    EXPECT_TRUE(each->read_all(10'000).starts_with("HTTP/1.1 502"));
  }
  this->settle();
  EXPECT_EQ(this->crashed_servers(), 1);
  for (const auto& each : this->nodes) {
    EXPECT_EQ(this->on_nodes_thread([&] { return gauge_value(*each, "zinnia_requests_suspected"); }), others);
    EXPECT_EQ(this->on_nodes_thread([&] { return gauge_value(*each, "zinnia_requests_quarantined"); }), 0);
  }
}

TEST_F(crashing_request, is_suspected_if_it_is_given_up_at_a_server_that_turns_out_to_have_crashed) {
  std::atomic<bool> given_up{false};
  const auto first_is_silent_and_crashes = [&](int) {
    if (this->arrived++ > 0) {
      return good_response();
    }
    while (!given_up) {
      std::this_thread::yield();
    }
    return crash_response();
  };
  this->add_server(first_is_silent_and_crashes);
  this->add_server(first_is_silent_and_crashes);
  this->start(request_kind::unsafe);
  raw_tcp_client client{this->nodes[0]->port};
  client.send(
      "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 600\r\nConnection: close\r\nContent-Length: "
      "0\r\n\r\n");
  EXPECT_TRUE(client.read_all(10'000).starts_with("HTTP/1.1 504"));
  given_up = true;
  // A request that comes before the crash would be lost with the server, and be suspected as well.
  while (this->crashed_servers() == 0) {
    std::this_thread::yield();
  }
  const auto suspected = [&] {
    return this->on_nodes_thread([&] { return gauge_value(*this->nodes[0], "zinnia_requests_suspected"); });
  };
  for (int number = 0; number < 200 && suspected() == 0; ++number) {
    static_cast<void>(this->send_request("POST", number));
    this->settle();
  }
  EXPECT_EQ(suspected(), 1);
}

TEST_F(crashing_request, is_not_suspected_if_the_server_only_drops_connections) {
  this->clock = &this->stopped;
  this->add_server([](int) { return scripted_response{"", false, 0, true}; });
  this->start(request_kind::unsafe);
  for (int number = 0; number < 8; ++number) {
    EXPECT_TRUE(this->send_request("POST", number).starts_with("HTTP/1.1 50"));
    this->settle();
  }
  EXPECT_EQ(this->on_nodes_thread([&] { return gauge_value(*this->nodes[0], "zinnia_requests_suspected"); }),
            0);
}

}  // namespace
