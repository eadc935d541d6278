// A gateway between sockets of callers and scripted backend servers.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "standins/raw_tcp_client.hpp"
#include "standins/scripted_tcp_server.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/http_listener.hpp"

namespace zinnia::testing_support {

using standins::raw_tcp_client;
using standins::scripted_response;
using standins::scripted_tcp_server;

/// Builds a backend server's response; the request id is always r1.
[[nodiscard]] inline scripted_response make_response(int status, const std::string& fields,
                                                     const std::string& body = "data") {
  return {"HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: r1\r\n" + fields +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
          true};
}
inline const scripted_response good_response = make_response(200, "Stamp: s\r\n");
inline const scripted_response shed_response = make_response(503, "Not-Run: 1\r\n", "");
inline const scripted_response connection_reset{"", false, 0, true};

class gateway_contract : public testing::Test {
 protected:
  void SetUp() override {
    header_field_names field_names;
    field_names.request_id = "Request-Id";
    field_names.time_left_ms = "Left";
    field_names.object_key = "Key";
    field_names.expected_backend = "Expected";
    field_names.did_not_run = "Not-Run";
    field_names.response_stamp = "Stamp";
    field_names.backend_id = "Instance-Id";
    field_names.backend_leaving = "Leaving";
    gateway_options options;
    options.self = node_id{"n"};
    options.own_location = {failure_domain_id{"d"}, region_id{"r"}};
    options.regions = {{failure_domain_id{"d"}, region_id{"r"}}};
    options.field_names = field_names;
    options.retry_budget = {0.2, 100, duration{10'000}};
    this->traffic.emplace(this->context, this->clock, this->counts, options);
    this->listener.emplace(
        this->context, this->clock, 100,
        [this](const std::shared_ptr<caller_exchange>& exchange) { this->traffic->handle(exchange); });
    this->port = *this->listener->listen({boost::asio::ip::address_v4::loopback(), 0});
    this->snapshot.services[service_id{"desk"}] = {service_id{"desk"}, "/health", 100, 0};
  }
  void TearDown() override {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }
  void route_with(request_kind kind, int timeout_ms = 1000) {
    route added;
    added.name = "rule";
    added.host = "h";
    added.prefix = "/x/";
    added.kind = kind;
    added.max_attempts = 2;
    added.timeout = duration{timeout_ms};
    added.destinations = {{service_id{"desk"}, 1}};
    this->snapshot.routes = std::make_shared<const route_table>(std::vector<route>{added});
  }
  void add(const std::string& id, std::uint16_t backend_port) {
    backend_declaration backend;
    backend.id = backend_id{id};
    backend.service = service_id{"desk"};
    backend.address = {"127.0.0.1", backend_port};
    backend.domain = failure_domain_id{"d"};
    backend.slots = 3;
    this->snapshot.backends[backend.id] = backend;
  }
  void start() {
    this->snapshot.sequence = 1;
    this->snapshot.version = config_version{1};
    this->traffic->apply(std::make_shared<const routing_snapshot>(this->snapshot));
    this->thread = std::thread{[this] { this->context.run(); }};
  }
  /// Sends one request and returns the complete response.
  [[nodiscard]] std::string send_request(const std::string& method = "GET", int left_ms = 1000) const {
    raw_tcp_client client{this->port};
    client.send(method + " /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: " + std::to_string(left_ms) +
                "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    return client.read_all();
  }

  boost::asio::io_context context;
  boot_clock clock;
  metrics counts;
  std::optional<gateway> traffic;
  std::optional<http_listener> listener;
  std::uint16_t port{0};
  routing_snapshot snapshot;
  std::thread thread;
};

}  // namespace zinnia::testing_support
