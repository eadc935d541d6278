// Backend servers whose bytes never end: the request ends, the connection closes, and little is read or kept.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>
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

struct endless_case {
  const char* name;
  std::string begin;
  std::string repeated;
  std::string expected_status;
};

/// Sends one request to a node with one server.
[[nodiscard]] std::string request_through_node(std::uint16_t server_port) {
  boost::asio::io_context context;
  const boot_clock clock;
  metrics counts;
  gateway_options options;
  options.self = node_id{"n"};
  options.own_location = {failure_domain_id{"d"}, region_id{"r"}};
  options.regions = {{failure_domain_id{"d"}, region_id{"r"}}};
  options.field_names.response_stamp = "Stamp";
  gateway traffic{context, clock, counts, options};
  http_listener listener{context, clock, 100,
                         [&](const std::shared_ptr<caller_exchange>& exchange) { traffic.handle(exchange); }};
  const auto port = *listener.listen({boost::asio::ip::address_v4::loopback(), 0});
  routing_snapshot snapshot;
  snapshot.sequence = 1;
  snapshot.version = config_version{1};
  snapshot.services[service_id{"desk"}] = {service_id{"desk"}, "/health", 100, 0};
  route added;
  added.host = "h";
  added.prefix = "/x/";
  added.kind = request_kind::unsafe;
  added.timeout = duration{2000};
  added.destinations = {{service_id{"desk"}, 1}};
  snapshot.routes = std::make_shared<const route_table>(std::vector<route>{added});
  backend_declaration backend;
  backend.id = backend_id{"a"};
  backend.service = service_id{"desk"};
  backend.address = {"127.0.0.1", server_port};
  backend.domain = failure_domain_id{"d"};
  snapshot.backends[backend.id] = backend;
  traffic.apply(std::make_shared<const routing_snapshot>(snapshot));
  std::thread thread{[&] { context.run(); }};
  raw_tcp_client client{port};
  client.send("POST /x/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  auto response = client.read_all(10'000);
  context.stop();
  thread.join();
  return response;
}

TEST(endless_response, ends_the_request_and_is_hardly_read) {
  const std::string chunked = "HTTP/1.1 200 X\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  // What is read before a bound applies, and what the sockets hold.
  constexpr std::size_t max_sent_bytes = 16 << 20;
  for (const auto& each : std::vector<endless_case>{
           {"head", "HTTP/1.1 200 X\r\n", "Field: value\r\n", "HTTP/1.1 502"},
           {"field", "HTTP/1.1 200 X\r\nField: ", "value", "HTTP/1.1 502"},
           {"status line", "HTTP/1.1 200 ", "X", "HTTP/1.1 502"},
           {"no HTTP at all", "", "garbage", "HTTP/1.1 502"},
           {"chunk extension", chunked + "5;ext=", "value", "HTTP/1.1 502"},
           {"chunk size", chunked, "0", "HTTP/1.1 502"},
           {"trailers", chunked + "0\r\n", "Field: value\r\n", "HTTP/1.1 502"},
           {"trailer field", chunked + "0\r\nField: ", "value", "HTTP/1.1 502"},
           {"interim responses", "", "HTTP/1.1 103 Hints\r\n\r\n", "HTTP/1.1 502"},
           {"body that cannot be forwarded", "HTTP/1.1 200 X\r\n\r\n", "data", "HTTP/1.1 502"},
           {"body beyond its length", "HTTP/1.1 200 X\r\nStamp: s\r\nContent-Length: 2\r\n\r\nab", "data",
            "HTTP/1.1 200"},
           {"body where none is due", "HTTP/1.1 204 X\r\nStamp: s\r\n\r\n", "data", "HTTP/1.1 204"},
       }) {
    const scripted_tcp_server server{
        [&](int) { return scripted_response{each.begin, false, 0, false, false, each.repeated}; }};
    const auto response = request_through_node(server.port());
    EXPECT_TRUE(response.starts_with(each.expected_status)) << each.name << ": " << response.substr(0, 200);
    EXPECT_LE(server.sent_bytes(), max_sent_bytes) << each.name;
  }
}

}  // namespace
