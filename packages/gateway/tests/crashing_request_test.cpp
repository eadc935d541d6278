// Requests that crash each backend server that runs them, and servers that crash for other reasons.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <future>
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

class crashing_request : public testing::Test {
 protected:
  static constexpr int server_count = 16;

  void SetUp() override {
    for (int i = 0; i < server_count; ++i) {
      this->servers.push_back(std::make_unique<scripted_tcp_server>([](int) {
        scripted_response response;
        response.crash = true;
        return response;
      }));
    }
  }
  void TearDown() override {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }
  void start(request_kind kind) {
    gateway_options options;
    options.self = node_id{"n"};
    options.own_location = {failure_domain_id{"d"}, region_id{"r"}};
    options.regions = {{failure_domain_id{"d"}, region_id{"r"}}};
    options.retry_budget = {0.2, 100, duration{10'000}};
    this->traffic.emplace(this->context, this->clock, this->counts, options);
    this->listener.emplace(
        this->context, this->clock, 100,
        [this](const std::shared_ptr<caller_exchange>& exchange) { this->traffic->handle(exchange); });
    this->port = *this->listener->listen({boost::asio::ip::address_v4::loopback(), 0});
    routing_snapshot snapshot;
    snapshot.sequence = 1;
    snapshot.version = config_version{1};
    snapshot.services[service_id{"desk"}] = {service_id{"desk"}, "/health", 100, 0};
    route added;
    added.host = "h";
    added.prefix = "/x/";
    added.kind = kind;
    added.max_attempts = 2;
    added.timeout = duration{5000};
    added.destinations = {{service_id{"desk"}, 1}};
    snapshot.routes = std::make_shared<const route_table>(std::vector<route>{added});
    for (int i = 0; i < server_count; ++i) {
      backend_declaration backend;
      backend.id = backend_id{"b" + std::to_string(i)};
      backend.service = service_id{"desk"};
      backend.address = {"127.0.0.1", this->servers[static_cast<std::size_t>(i)]->port()};
      backend.domain = failure_domain_id{"d"};
      backend.slots = 3;
      snapshot.backends[backend.id] = backend;
    }
    this->traffic->apply(std::make_shared<const routing_snapshot>(snapshot));
    this->thread = std::thread{[this] { this->context.run(); }};
  }
  /// Sends the same request under another id.
  [[nodiscard]] std::string send_request(const std::string& method, int number) const {
    raw_tcp_client client{this->port};
    client.send(method + " /x/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r" + std::to_string(number) +
                "\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
    return client.read_all(10'000);
  }
  /// Waits until the node knows of each server that did not respond whether it still runs.
  void settle() {
    bool is_settled = false;
    while (!is_settled) {
      std::promise<bool> checked;
      boost::asio::post(this->context, [&] {
        bool pending = false;
        for (const auto& sample : this->traffic->gauges()) {
          pending = pending || (sample.name == "zinnia_backends_suspected_crashed" && sample.value != 0);
        }
        checked.set_value(!pending);
      });
      is_settled = checked.get_future().get();
    }
  }
  [[nodiscard]] int crashed_servers() const {
    int crashed = 0;
    for (const auto& server : this->servers) {
      crashed += server->has_crashed() ? 1 : 0;
    }
    return crashed;
  }

  boot_clock clock;
  metrics counts;
  std::vector<std::unique_ptr<scripted_tcp_server>> servers;
  boost::asio::io_context context;
  std::optional<gateway> traffic;
  std::optional<http_listener> listener;
  std::uint16_t port{0};
  std::thread thread;
};

TEST_F(crashing_request, that_comes_again_under_other_ids_does_not_crash_server_after_server) {
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

TEST_F(crashing_request, that_is_not_idempotent_does_not_crash_server_after_server) {
  this->start(request_kind::unsafe);
  for (int number = 0; number < server_count; ++number) {
    static_cast<void>(this->send_request("POST", number));
    this->settle();
  }
  EXPECT_LE(this->crashed_servers(), crashes_until_known + max_later_sends);
}

}  // namespace
