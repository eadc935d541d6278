// Several gateways and backend servers in one process, for tests of requests that nodes forward to each
// other.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <type_traits>
#include <utility>
#include <vector>

#include "standins/raw_tcp_client.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/http_listener.hpp"

namespace zinnia::testing_support {

/// Returns the status of a response, or 0 if there is none.
[[nodiscard]] inline int status_of(const std::string& response) {
  return response.starts_with("HTTP/1.1 ") ? std::stoi(response.substr(9, 3)) : 0;
}
/// A backend server on the fixture's thread. Keeps what it got, without health checks; its answers can be
/// replaced.
struct backend_server {
  backend_server(boost::asio::io_context& context, const clock_source& clock)
      : listener{context, clock, 1000, [this](const auto& exchange) {
                   if (exchange->head().path() == "/health") {
                     exchange->respond(200, {}, "");
                     return;
                   }
                   this->requests.push_back(exchange);
                   exchange->on_disconnect = [this] { ++this->disconnects; };
                   this->respond(exchange);
                 }} {
    this->port = *this->listener.listen({boost::asio::ip::address_v4::loopback(), 0});
    this->respond = [](const auto& exchange) { answer(*exchange, 200, "data"); };
  }
  static void answer(caller_exchange& exchange, int status, const std::string& body,
                     const header_fields& added = {{"Stamp", "s"}}) {
    header_fields fields{
        {"Request-Id", std::string{find_field(exchange.head().fields, "Request-Id").value_or("")}}};
    fields.insert(fields.end(), added.begin(), added.end());
    exchange.respond(status, fields, body);
  }

  http_listener listener;
  std::uint16_t port{0};
  std::function<void(const std::shared_ptr<caller_exchange>&)> respond;
  std::vector<std::shared_ptr<caller_exchange>> requests;
  int disconnects{0};
};

/// One node: a gateway with a listener for callers and one for other nodes.
struct node_under_test {
  std::string name;
  location where;
  metrics counts;
  std::unique_ptr<gateway> traffic;
  std::unique_ptr<http_listener> callers;
  std::unique_ptr<http_listener> forwarded;
  std::uint16_t caller_port{0};
  std::uint16_t forward_port{0};
  // The backend servers cannot be reached from this node.
  bool cut{false};
};

class forwarding_fixture : public testing::Test {
 protected:
  /// Bounds a failing test only.
  static constexpr int patience_ms = 10'000;

  forwarding_fixture() {
    this->snapshot.services[service_id{"desk"}] = {service_id{"desk"}, "/health", 10'000, 0};
    this->snapshot.version = config_version{5};
  }
  void TearDown() override {
    if (this->thread.joinable()) {
      // Requests in flight keep their connections alive, and those them.
      this->run_there([&] {
        for (const auto& server : this->servers) {
          server->respond = [](const auto& exchange) { exchange->abort(); };
          for (const auto& request : server->requests) {
            request->abort();
          }
        }
      });
      EXPECT_TRUE(this->wait_until([&] {
        return std::all_of(this->nodes.begin(), this->nodes.end(),
                           [](const auto& node) { return node->traffic->requests_in_flight() == 0; });
      }));
    }
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  node_under_test& add_node(const std::string& name, const std::string& domain = "d",
                            const std::string& region = "r") {
    auto& added = *this->nodes.emplace_back(std::make_unique<node_under_test>());
    added.name = name;
    added.where = {failure_domain_id{domain}, region_id{region}};
    gateway_options options;
    options.self = node_id{name};
    options.own_location = added.where;
    options.regions = {{failure_domain_id{"d"}, region_id{"r"}},
                       {failure_domain_id{"far"}, region_id{"other"}}};
    options.field_names.request_id = "Request-Id";
    options.field_names.time_left_ms = "Left";
    options.field_names.expected_backend = "Expected";
    options.field_names.did_not_run = "Not-Run";
    options.field_names.response_stamp = "Stamp";
    options.retry_budget = this->budget;
    options.revocation_limit = this->revocation_limit;
    added.traffic = std::make_unique<gateway>(this->context, this->clock, added.counts, options);
    added.callers =
        std::make_unique<http_listener>(this->context, this->clock, 1000,
                                        [&added](const auto& exchange) { added.traffic->handle(exchange); });
    added.forwarded = std::make_unique<http_listener>(
        this->context, this->clock, 1000,
        [&added](const auto& exchange) { added.traffic->handle_forwarded(exchange); });
    added.caller_port = *added.callers->listen({boost::asio::ip::address_v4::loopback(), 0});
    added.forward_port = *added.forwarded->listen({boost::asio::ip::address_v4::loopback(), 0});
    return added;
  }
  backend_server& add_server(const std::string& id) {
    auto& added = *this->servers.emplace_back(std::make_unique<backend_server>(this->context, this->clock));
    backend_declaration declared;
    declared.id = backend_id{id};
    declared.service = service_id{"desk"};
    declared.address = {"127.0.0.1", added.port};
    declared.domain = failure_domain_id{"d"};
    declared.slots = this->slots;
    this->snapshot.backends[declared.id] = declared;
    return added;
  }
  void set_route(request_kind kind, int timeout_ms = 5000, std::set<region_id> allowed = {},
                 int max_attempts = 2) {
    route added;
    added.name = "rule";
    added.host = "h";
    added.prefix = "/x/";
    added.kind = kind;
    added.max_attempts = max_attempts;
    added.timeout = duration{timeout_ms};
    added.destinations = {{service_id{"desk"}, 1}};
    added.allowed_regions = std::move(allowed);
    this->snapshot.routes = std::make_shared<const route_table>(std::vector<route>{added});
  }
  /// Applies the snapshot, makes all other nodes the peers of each, and starts the thread.
  void start() {
    for (const auto& node : this->nodes) {
      std::vector<forwarding_peer> peers;
      for (const auto& other : this->nodes) {
        if (other != node) {
          peers.push_back({node_id{other->name}, other->where, {"127.0.0.1", other->forward_port}});
        }
      }
      this->apply_to(*node);
      set_peers(*node, peers);
    }
    this->thread = std::thread{[this] { this->context.run(); }};
  }
  /// \param registered_count The number of nodes that share the connections of each peer.
  static void set_peers(node_under_test& node, const std::vector<forwarding_peer>& peers,
                        std::size_t registered_count = 10) {
    gateway_nodes known;
    known.serving = {{node_id{node.name}, node.where}};
    known.registered_count = registered_count;
    known.forwarding_peers = peers;
    node.traffic->set_nodes(known);
  }
  [[nodiscard]] static forwarding_peer make_peer(const std::string& name, std::uint16_t port) {
    return {node_id{name}, {failure_domain_id{"d"}, region_id{"r"}}, {"127.0.0.1", port}};
  }
  /// Runs `action` on the gateways' thread and returns its result.
  template <class Action>
  auto run_there(Action action) -> decltype(action()) {
    std::promise<decltype(action())> done;
    boost::asio::post(this->context, [&] {
      if constexpr (std::is_void_v<decltype(action())>) {
        action();
        done.set_value();
      } else {
        done.set_value(action());
      }
    });
    return done.get_future().get();
  }
  /// Applies the snapshot; a node that is cut off finds no process at the servers' addresses.
  void apply_to(node_under_test& node) {
    auto applied = this->snapshot;
    applied.sequence = ++this->sequence;
    if (node.cut) {
      for (auto& [id, declared] : applied.backends) {
        declared.address.port = this->closed_port.local_endpoint().port();
      }
    }
    node.traffic->apply(std::make_shared<const routing_snapshot>(applied));
  }
  void apply_to_all() {
    for (const auto& node : this->nodes) {
      this->apply_to(*node);
    }
  }
  /// The only place that depends on how a node finds its links lost.
  void set_links_lost(node_under_test& node, bool lost = true) {
    this->run_there([&] {
      node.cut = lost;
      node.traffic->link_state().pin(lost ? link_condition::lost : link_condition::up);
      this->apply_to(node);
    });
  }
  [[nodiscard]] bool wait_until(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds{patience_ms};
    while (std::chrono::steady_clock::now() < end) {
      if (this->run_there(condition)) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    return false;
  }
  [[nodiscard]] static std::string make_request(const std::string& method = "GET",
                                                const std::string& body = "", const std::string& fields = "",
                                                const std::string& id = "r1") {
    return method + " /x/1?q=2 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nLeft: 20000\r\n" + fields +
           "Connection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  [[nodiscard]] static std::string exchange_with(std::uint16_t port, const std::string& request) {
    standins::raw_tcp_client client{port};
    client.send(request);
    return client.read_all(patience_ms);
  }
  /// Returns the record of request r1 at that node, once it has ended there.
  [[nodiscard]] std::string record_of(node_under_test& node) {
    static_cast<void>(this->wait_until([&] { return node.traffic->find_record("r1").has_value(); }));
    return this->run_there([&] { return node.traffic->find_record("r1").value_or(""); });
  }
  [[nodiscard]] std::size_t request_count(const backend_server& server) {
    return this->run_there([&] { return server.requests.size(); });
  }

  /// Returns the number of requests that wait for a backend server at that node.
  [[nodiscard]] std::int64_t queued_at(node_under_test& node) {
    const auto gauges = this->run_there([&] { return node.traffic->gauges(); });
    const auto found = std::find_if(gauges.begin(), gauges.end(), [](const gauge& value) {
      return value.name == "zinnia_requests_waiting";
    });
    return found == gauges.end() ? 0 : found->value;
  }

  retry_budget_settings budget{0.2, 100, duration{10'000}};
  int slots{3};
  std::optional<duration> revocation_limit;
  boot_clock clock;
  boost::asio::io_context context;
  // Bound and not listening: connections to it are refused.
  boost::asio::ip::tcp::socket closed_port{this->context, {boost::asio::ip::address_v4::loopback(), 0}};
  routing_snapshot snapshot;
  std::uint64_t sequence{0};
  std::vector<std::unique_ptr<node_under_test>> nodes;
  std::vector<std::unique_ptr<backend_server>> servers;
  std::thread thread;
};

}  // namespace zinnia::testing_support
