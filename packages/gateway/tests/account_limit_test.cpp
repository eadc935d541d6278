// A gateway that is one of the holders of an account's limit; the test plays the other holder.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
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

class account_limit : public testing::Test {
 protected:
  static constexpr std::size_t max_connections = 1000;
  static constexpr int holder_port = 4000;

  void TearDown() override {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }
  [[nodiscard]] static route make_route(const std::string& prefix, bool is_public) {
    route made;
    made.host = "h";
    made.prefix = prefix;
    made.max_attempts = 1;
    made.timeout = duration{5000};
    made.destinations = {{service_id{"desk"}, 1}};
    made.is_public = is_public;
    return made;
  }
  /// Starts a node that holds a limit of 2 a second and bursts of 4: alone, or one of two holders.
  void start(std::optional<std::uint16_t> server_port, std::size_t holder_count) {
    routing_snapshot snapshot;
    if (server_port) {
      backend_declaration backend;
      backend.id = backend_id{"b"};
      backend.service = service_id{"desk"};
      backend.address = {"127.0.0.1", *server_port};
      backend.slots = 3;
      snapshot.backends[backend.id] = backend;
    }
    snapshot.services[service_id{"desk"}] = {service_id{"desk"}, "/health", 100, 0};
    snapshot.routes = std::make_shared<const route_table>(
        std::vector<route>{make_route("/x/", false), make_route("/public/", true)});
    account_declaration declared;
    declared.id = account_id{"a"};
    declared.keys = {"k"};
    declared.requests_per_second = 2;
    declared.burst = 4;
    snapshot.accounts = account_table::make({declared}).value();
    snapshot.sequence = 1;
    snapshot.version = config_version{1};
    gateway_options options;
    options.self = node_id{"n0"};
    options.field_names.response_stamp = "Stamp";
    options.account_limits.overage = 0.1;
    options.account_limits.slack = 20;
    options.send_account_messages = [this](const ip_endpoint& to, const account_messages& sent) {
      EXPECT_EQ(to, (ip_endpoint{"10.0.0.1", holder_port}));
      this->asks += static_cast<int>(sent.asks.size());
      if (this->grants) {
        boost::asio::post(this->context, [this, asks = sent.asks] { this->answer(asks); });
      }
    };
    this->traffic = std::make_unique<gateway>(this->context, this->clock, this->counts, options);
    this->traffic->apply(std::make_shared<const routing_snapshot>(snapshot));
    limit_holders holders{{{node_id{"n0"}, {}, 0}}, 0};
    if (holder_count > 1) {
      holders.all.push_back({node_id{"n1"}, {"10.0.0.1", holder_port}, 1});
    }
    this->traffic->set_limit_holders(holders);
    this->listener = std::make_unique<http_listener>(
        this->context, this->clock, max_connections,
        [this](const std::shared_ptr<caller_exchange>& exchange) { this->traffic->handle(exchange); });
    this->port = *this->listener->listen({boost::asio::ip::address_v4::loopback(), 0});
    this->thread = std::thread{[this] { this->context.run(); }};
  }
  void answer(const std::vector<account_ask>& asked) {
    account_messages answer;
    for (const auto& ask : asked) {
      answer.grants.push_back({ask.account, ask.thousandths, ask.nonce});
    }
    this->traffic->apply_account_messages(answer, {"10.0.0.1", holder_port});
  }
  [[nodiscard]] std::string request(const std::string& path) const {
    raw_tcp_client client{this->port};
    client.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Account-Key: k\r\nX-Deadline-Ms: 3000\r\n" +
                "Connection: close\r\n\r\n");
    return client.read_all();
  }
  [[nodiscard]] int status_of(const std::string& path) const {
    return std::stoi(this->request(path).substr(9, 3));
  }

  boot_clock clock;
  metrics counts;
  boost::asio::io_context context;
  std::unique_ptr<gateway> traffic;
  std::unique_ptr<http_listener> listener;
  std::uint16_t port{0};
  std::thread thread;
  std::atomic<bool> grants{false};
  std::atomic<int> asks{0};
  scripted_tcp_server server{[](int) {
    return scripted_response{"HTTP/1.1 200 X\r\nStamp: s\r\nContent-Length: 0\r\n\r\n", true};
  }};
};

// Guards against requests beyond the limit that reach a server.
TEST_F(account_limit, rejects_requests_beyond_the_limit_at_once_and_does_not_run_them) {
  this->start(this->server.port(), 1);
  int served = 0;
  std::string last;
  for (; served < 20; ++served) {
    last = this->request("/x/1");
    if (!last.starts_with("HTTP/1.1 200")) {
      break;
    }
  }
  EXPECT_TRUE(last.starts_with("HTTP/1.1 429")) << last;
  EXPECT_NE(last.find("Retry-After: "), std::string::npos);
  EXPECT_GE(served, 4);
  EXPECT_LT(served, 10);
  EXPECT_EQ(this->server.requests(), served);
  EXPECT_EQ(this->status_of("/public/1"), 200) << "public routes take no token";
}

// Guards against an account that loses its limit to requests that no server could take.
TEST_F(account_limit, returns_the_token_of_a_request_that_has_not_run) {
  this->start(std::nullopt, 1);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(this->status_of("/x/1"), 503) << i;
  }
}

// Guards against rejections while another node has tokens.
TEST_F(account_limit, lets_a_request_wait_for_a_grant) {
  this->grants = true;
  this->start(this->server.port(), 2);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(this->status_of("/x/1"), 200) << i;
  }
  EXPECT_GT(this->asks, 0);
}

// Guards against requests that wait longer than a grant may take.
TEST_F(account_limit, ends_the_wait_without_a_grant) {
  this->start(this->server.port(), 2);
  int status = 0;
  duration took;
  for (int i = 0; i < 20 && status != 429; ++i) {
    const auto begin = this->clock.now();
    status = this->status_of("/x/1");
    took = this->clock.now() - begin;
  }
  EXPECT_EQ(status, 429);
  EXPECT_GE(took, duration{140});
  EXPECT_LT(took, duration{1000});
}

}  // namespace
