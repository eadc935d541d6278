// Nodes that lose their links to all backend servers, which still run and serve other nodes.
#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <vector>

#include "standins/fault_proxy.hpp"
#include "standins/raw_tcp_client.hpp"
#include "standins/scripted_tcp_server.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/http_listener.hpp"

using namespace zinnia;
using standins::fault_proxy;
using standins::raw_tcp_client;
using standins::scripted_response;
using standins::scripted_tcp_server;
using cut = standins::link_state;

namespace {

constexpr int server_count = 6;
/// Of all requests. Longer than the limit of any wait, so that an answer at the deadline fails the test.
constexpr int deadline_ms = 20'000;
constexpr int wait_limit_ms = 6000;

[[nodiscard]] scripted_response good_response() {
  return {"HTTP/1.1 200 X\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", true};
}

struct node {
  metrics counts;
  std::unique_ptr<gateway> traffic;
  std::unique_ptr<http_listener> listener;
  std::uint16_t port{0};
  std::vector<bool> announced;
};

/// Two nodes before the same servers that send each other their crash reports. The first one has its links
/// cut.
class lost_links : public testing::Test {
 protected:
  void SetUp() override {
    for (int i = 0; i < server_count; ++i) {
      this->servers.push_back(std::make_unique<scripted_tcp_server>(
          [this](int) {
            ++this->arrived;
            while (this->holding) {
              std::this_thread::sleep_for(std::chrono::milliseconds{1});
            }
            return good_response();
          },
          good_response()));
      this->proxies.push_back(
          std::make_unique<fault_proxy>(this->proxy_context, "127.0.0.1", this->servers.back()->port()));
    }
    this->add_node([this](std::size_t i) { return this->proxies[i]->port(); });
    this->add_node([this](std::size_t i) { return this->servers[i]->port(); });
    this->proxy_thread = std::thread{[this] { this->proxy_context.run(); }};
    this->thread = std::thread{[this] { this->context.run(); }};
  }
  void TearDown() override {
    this->holding = false;
    this->context.stop();
    this->thread.join();
    this->proxy_context.stop();
    this->proxy_thread.join();
  }
  void add_node(const std::function<std::uint16_t(std::size_t)>& port_of) {
    auto& added = *this->nodes.emplace_back(std::make_unique<node>());
    gateway_options options;
    options.self = node_id{"n" + std::to_string(this->nodes.size())};
    options.own_location = {failure_domain_id{"d0"}, region_id{"r"}};
    options.field_names.request_id = "Request-Id";
    options.field_names.response_stamp = "Stamp";
    options.retry_budget = {0.2, 100, duration{10'000}};
    options.send_crash_reports = [this, sender = &added](const auto& reports) {
      boost::asio::post(this->context, [this, sender, reports] {
        for (const auto& each : this->nodes) {
          if (each.get() != sender) {
            each->traffic->apply_crash_reports(reports);
          }
        }
      });
    };
    options.on_links_change = [&added](bool reaches) { added.announced.push_back(reaches); };
    added.traffic = std::make_unique<gateway>(this->context, this->clock, added.counts, options);
    added.traffic->apply(std::make_shared<const routing_snapshot>(make_snapshot(port_of)));
    added.listener = std::make_unique<http_listener>(
        this->context, this->clock, 1000,
        [&added](const std::shared_ptr<caller_exchange>& exchange) { added.traffic->handle(exchange); });
    added.port = *added.listener->listen({boost::asio::ip::address_v4::loopback(), 0});
  }
  [[nodiscard]] static routing_snapshot make_snapshot(
      const std::function<std::uint16_t(std::size_t)>& port_of) {
    routing_snapshot snapshot;
    snapshot.sequence = 1;
    snapshot.version = config_version{1};
    snapshot.services[service_id{"desk"}] = {service_id{"desk"}, "/health", 1000, 0};
    route added;
    added.host = "h";
    added.prefix = "/x/";
    added.kind = request_kind::by_method;
    added.max_attempts = 2;
    added.timeout = duration{deadline_ms};
    added.destinations = {{service_id{"desk"}, 1}};
    snapshot.routes = std::make_shared<const route_table>(std::vector<route>{added});
    for (std::size_t i = 0; i < server_count; ++i) {
      backend_declaration backend;
      backend.id = backend_id{"b" + std::to_string(i)};
      backend.service = service_id{"desk"};
      backend.address = {"127.0.0.1", port_of(i)};
      backend.domain = failure_domain_id{"d" + std::to_string(i % 3)};
      backend.slots = 64;
      snapshot.backends[backend.id] = backend;
    }
    return snapshot;
  }
  void set_links(cut state) {
    for (const auto& proxy : this->proxies) {
      proxy->set_state(state);
    }
  }
  /// Sends the same request under another id to the node whose links are cut.
  [[nodiscard]] std::unique_ptr<raw_tcp_client> send(const std::string& method) {
    auto client = std::make_unique<raw_tcp_client>(this->nodes[0]->port);
    client->send(method + " /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r" + std::to_string(++this->sent) +
                 "\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
    return client;
  }
  [[nodiscard]] std::string response_to(const std::string& method) {
    return this->send(method)->read_all(wait_limit_ms);
  }
  [[nodiscard]] std::int64_t gauge_value(std::size_t at, const std::string& name) {
    std::promise<std::int64_t> done;
    boost::asio::post(this->context, [&] {
      std::int64_t value = 0;
      for (const auto& sample : this->nodes[at]->traffic->gauges()) {
        value = sample.name == name ? sample.value : value;
      }
      done.set_value(value);
    });
    return done.get_future().get();
  }
  /// Waits for the condition and returns false if it takes longer than any working node needs.
  [[nodiscard]] static bool becomes_true(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds{wait_limit_ms};
    while (!condition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{2});
    }
    return true;
  }
  [[nodiscard]] bool become_lost(bool lost) {
    return becomes_true([&] { return this->gauge_value(0, "zinnia_links_lost") == (lost ? 1 : 0); });
  }
  /// Cuts the links and sends requests until the node has noticed.
  [[nodiscard]] bool lose_links(cut how) {
    this->set_links(how);
    std::vector<std::unique_ptr<raw_tcp_client>> callers;
    return becomes_true([&] {
      if (callers.size() < 10) {
        callers.push_back(this->send("GET"));
      }
      return this->gauge_value(0, "zinnia_links_lost") == 1;
    });
  }
  [[nodiscard]] bool heal_links() {
    this->set_links(cut::open);
    return this->become_lost(false);
  }

  boot_clock clock;
  // Used by threads of the servers, which end later than the test.
  std::atomic<int> arrived{0};
  std::atomic<bool> holding{false};
  int sent{0};
  std::vector<std::unique_ptr<scripted_tcp_server>> servers;
  boost::asio::io_context proxy_context;
  // Proxies that refuse connections have no work.
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> proxy_work{
      this->proxy_context.get_executor()};
  std::vector<std::unique_ptr<fault_proxy>> proxies;
  boost::asio::io_context context;
  std::vector<std::unique_ptr<node>> nodes;
  std::thread proxy_thread;
  std::thread thread;
};

TEST_F(lost_links, have_requests_refused_at_once_instead_of_at_their_deadlines) {
  for (const auto how : {cut::stalled, cut::reset, cut::refused}) {
    ASSERT_TRUE(this->response_to("POST").starts_with("HTTP/1.1 200"));
    ASSERT_TRUE(this->lose_links(how)) << static_cast<int>(how);
    const auto arrived_before = this->arrived.load();
    for (int i = 0; i < 3; ++i) {
      const auto response = this->response_to("POST");
      EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << static_cast<int>(how) << response;
      EXPECT_NE(response.find("Retry-After: "), std::string::npos) << response;
    }
    EXPECT_EQ(this->arrived, arrived_before);
    ASSERT_TRUE(this->heal_links()) << static_cast<int>(how);
  }
}

TEST_F(lost_links, end_requests_in_flight_when_they_are_noticed) {
  ASSERT_TRUE(this->response_to("GET").starts_with("HTTP/1.1 200"));
  this->holding = true;
  std::vector<std::unique_ptr<raw_tcp_client>> callers;
  for (int i = 0; i < 8; ++i) {
    callers.push_back(this->send("GET"));
  }
  ASSERT_TRUE(becomes_true([&] { return this->arrived == 9; }));
  this->set_links(cut::stalled);
  for (const auto& caller : callers) {
    const auto response = caller->read_all(wait_limit_ms);
    EXPECT_TRUE(response.starts_with("HTTP/1.1 502")) << response;
  }
}

TEST_F(lost_links, leave_no_server_suspended_once_they_are_back) {
  for (const auto how : {cut::stalled, cut::reset, cut::refused}) {
    ASSERT_TRUE(this->lose_links(how)) << static_cast<int>(how);
    ASSERT_TRUE(this->heal_links()) << static_cast<int>(how);
    EXPECT_EQ(this->gauge_value(0, "zinnia_backends_suspended"), 0) << static_cast<int>(how);
    EXPECT_TRUE(this->response_to("POST").starts_with("HTTP/1.1 200")) << static_cast<int>(how);
  }
}

TEST_F(lost_links, do_not_quarantine_a_popular_request_at_all_nodes) {
  constexpr int cuts = 4;
  for (int number = 0; number < cuts; ++number) {
    const auto before = this->arrived.load();
    this->holding = true;
    std::vector<std::unique_ptr<raw_tcp_client>> callers;
    const bool served = becomes_true([&] {
      callers.push_back(this->send("GET"));
      return this->arrived >= before + 8;
    });
    if (!served) {
      break;
    }
    this->set_links(cut::refused);
    for (const auto& caller : callers) {
      EXPECT_FALSE(caller->read_all(wait_limit_ms).empty());
    }
    ASSERT_TRUE(this->become_lost(true));
    ASSERT_TRUE(this->heal_links());
  }
  for (std::size_t at = 0; at < this->nodes.size(); ++at) {
    EXPECT_EQ(this->gauge_value(at, "zinnia_requests_suspected"), 0) << "node " << at;
    EXPECT_EQ(this->gauge_value(at, "zinnia_requests_quarantined"), 0) << "node " << at;
  }
}

TEST_F(lost_links, that_are_half_open_keep_serving_on_open_connections) {
  const auto send_together = [this](int count) {
    std::vector<std::unique_ptr<raw_tcp_client>> callers;
    for (int i = 0; i < count; ++i) {
      callers.push_back(this->send("GET"));
    }
    return callers;
  };
  // Opens some connections.
  this->holding = true;
  const auto first = send_together(8);
  ASSERT_TRUE(becomes_true([&] { return this->arrived == 8; }));
  this->holding = false;
  for (const auto& caller : first) {
    ASSERT_TRUE(caller->read_all(wait_limit_ms).starts_with("HTTP/1.1 200"));
  }
  this->set_links(cut::half_open);
  // More requests than there are connections.
  for (const auto& caller : send_together(60)) {
    static_cast<void>(caller->read_all(wait_limit_ms));
  }
  int served = 0;
  for (int i = 0; i < 40; ++i) {
    served += this->response_to("POST").starts_with("HTTP/1.1 200") ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  EXPECT_EQ(served, 40);
}

TEST_F(lost_links, are_announced_when_lost_and_when_regained) {
  ASSERT_TRUE(this->lose_links(cut::reset));
  ASSERT_TRUE(this->heal_links());
  EXPECT_EQ(this->nodes[0]->announced, (std::vector<bool>{false, true}));
  EXPECT_TRUE(this->nodes[1]->announced.empty());
}

}  // namespace
