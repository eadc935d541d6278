// Several gateways before the same backend servers, one of which names a limit of requests per second.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <mutex>
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

/// Moves only when the test moves it, so that the result does not depend on the speed of the machine.
class manual_clock final : public clock_source {
 public:
  [[nodiscard]] time_point now() const noexcept override { return {this->now_ms.load()}; }
  void advance(duration by) noexcept { this->now_ms += by.ms; }

 private:
  std::atomic<std::int64_t> now_ms{1'000'000};
};

struct node {
  std::unique_ptr<metrics> counts{std::make_unique<metrics>()};
  std::unique_ptr<gateway> traffic;
  std::unique_ptr<http_listener> listener;
  std::uint16_t port{0};
};

class rate_limit : public testing::Test {
 protected:
  static constexpr int node_count = 6;
  static constexpr duration request_interval{100};
  static constexpr std::size_t max_connections = 1000;
  static constexpr double limit_per_second = 3;
  /// One and a half times the limit in 4 s, and 5.
  static constexpr int max_in_window = 23;
  /// Time in which nodes may hear of the limit.
  static constexpr duration settling{3000};

  void TearDown() override {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }
  void add(const std::string& id, std::uint16_t port) {
    backend_declaration backend;
    backend.id = backend_id{id};
    backend.service = service_id{"desk"};
    backend.address = {"127.0.0.1", port};
    backend.domain = failure_domain_id{"d0"};
    backend.slots = 3;
    this->snapshot.backends[backend.id] = backend;
  }
  /// Starts the nodes: the first half in the servers' region, the others in another one.
  void start() {
    this->snapshot.services[service_id{"desk"}] = {service_id{"desk"}, "/health", 100, 0};
    route added;
    added.host = "h";
    added.prefix = "/x/";
    added.max_attempts = 2;
    added.timeout = duration{5000};
    added.destinations = {{service_id{"desk"}, 1}};
    this->snapshot.routes = std::make_shared<const route_table>(std::vector<route>{added});
    this->snapshot.sequence = 1;
    this->snapshot.version = config_version{1};
    gateway_nodes others;
    others.registered_count = node_count;
    const std::map<failure_domain_id, region_id> regions{{failure_domain_id{"d0"}, region_id{"r0"}},
                                                         {failure_domain_id{"d1"}, region_id{"r1"}}};
    for (const auto& [domain, region] : regions) {
      others.regions_with_nodes.insert(region);
      for (int i = 0; i < node_count / 2; ++i) {
        others.serving[node_id{domain.str() + "-" + std::to_string(i)}] = {domain, region};
      }
    }
    for (const auto& [id, where] : others.serving) {
      auto& added_node = this->nodes.emplace_back();
      gateway_options options;
      options.self = id;
      options.own_location = where;
      options.regions = regions;
      options.field_names.backend_rate_limit = "Limit";
      options.field_names.response_stamp = "Stamp";
      added_node.traffic = std::make_unique<gateway>(this->context, this->clock, *added_node.counts, options);
      added_node.traffic->set_nodes(others);
      added_node.traffic->apply(std::make_shared<const routing_snapshot>(this->snapshot));
      added_node.listener = std::make_unique<http_listener>(
          this->context, this->clock, max_connections,
          [traffic = added_node.traffic.get()](const std::shared_ptr<caller_exchange>& exchange) {
            traffic->handle(exchange);
          });
      added_node.port = *added_node.listener->listen({boost::asio::ip::address_v4::loopback(), 0});
    }
    this->thread = std::thread{[this] { this->context.run(); }};
  }
  /// Sends requests to all nodes in turn for this long.
  /// \return The number of responses by status line.
  std::map<std::string, int> send_for(duration span) {
    std::map<std::string, int> responses;
    const auto until = this->clock.now() + span;
    while (this->clock.now() < until) {
      for (const auto& each : this->nodes) {
        raw_tcp_client client{each.port};
        client.send("GET /x/1 HTTP/1.1\r\nHost: h\r\nX-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n");
        const auto response = client.read_all();
        ++responses[response.substr(0, response.find('\r'))];
        this->without_retry_after +=
            response.starts_with("HTTP/1.1 503") && response.find("Retry-After: ") == std::string::npos ? 1
                                                                                                        : 0;
      }
      this->clock.advance(request_interval);
    }
    return responses;
  }
  /// Response of the limited server; records when its request arrived.
  scripted_response respond_with_limit() {
    const std::lock_guard lock{this->mutex};
    this->arrivals.push_back(this->clock.now());
    return {"HTTP/1.1 200 X\r\nStamp: s\r\nLimit: 3.0\r\nContent-Length: 0\r\n\r\n", true};
  }
  /// Returns the most arrivals at the limited server within 4 s, from `begin` on.
  [[nodiscard]] int most_in_window(time_point begin) {
    constexpr duration window{4000};
    const std::lock_guard lock{this->mutex};
    int most = 0;
    for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first) {
      const auto beyond =
          std::find_if(first, this->arrivals.end(), [&](time_point at) { return at - *first >= window; });
      most = *first < begin ? most : std::max(most, static_cast<int>(beyond - first));
    }
    return most;
  }

  manual_clock clock;
  boost::asio::io_context context;
  routing_snapshot snapshot;
  std::vector<node> nodes;
  std::thread thread;
  std::mutex mutex;
  // Of the limited server.
  std::vector<time_point> arrivals;
  int without_retry_after{0};
};

TEST_F(rate_limit, all_nodes_together_keep_to_the_limit_that_a_server_names) {
  const scripted_tcp_server limited{[&](int) { return this->respond_with_limit(); }};
  const scripted_tcp_server unlimited{[&](int) {
    return scripted_response{"HTTP/1.1 200 X\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", true};
  }};
  this->add("a-limited", limited.port());
  this->add("b-unlimited", unlimited.port());
  this->start();
  const auto judged_from = this->clock.now() + settling;
  const auto responses = this->send_for(duration{15'000});
  EXPECT_EQ(responses.size(), 1U) << "the other server can take all requests";
  EXPECT_TRUE(responses.contains("HTTP/1.1 200 X"));
  EXPECT_LE(this->most_in_window(judged_from), max_in_window);
}

TEST_F(rate_limit, requests_beyond_the_limit_of_the_only_server_are_refused_at_once) {
  const scripted_tcp_server limited{[&](int) { return this->respond_with_limit(); }};
  this->add("a-limited", limited.port());
  this->start();
  const auto judged_from = this->clock.now() + settling;
  auto responses = this->send_for(duration{15'000});
  EXPECT_EQ(responses.size(), 2U);
  EXPECT_GT(responses["HTTP/1.1 503 Service Unavailable"], 0);
  EXPECT_EQ(this->without_retry_after, 0);
  EXPECT_LE(this->most_in_window(judged_from), max_in_window);
  const auto sent = std::count_if(this->arrivals.begin(), this->arrivals.end(),
                                  [&](time_point at) { return at >= judged_from; });
  constexpr double judged_s = 12;
  EXPECT_GE(static_cast<double>(sent), limit_per_second * judged_s / 2) << "the server is hardly used";
}

}  // namespace
