// What operators read at a node: which backend servers are restricted, why and until when.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <thread>

#include "restriction_report.hpp"
#include "standins/raw_tcp_client.hpp"
#include "zinnia/http/http_listener.hpp"
#include "zinnia/node/operator_interface.hpp"

namespace zinnia {
namespace {

const service_id desk{"desk"};
const failure_domain_id domain_a{"a"};
const failure_domain_id domain_b{"b"};

[[nodiscard]] backend_restriction restricted(const std::string& id, restriction_kind kind) {
  return {backend_id{id}, desk, domain_a, kind, std::nullopt};
}

TEST(restriction_report, names_reason_end_and_share_of_each_server) {
  auto busy = restricted("b1", restriction_kind::busy);
  busy.remaining = duration{1200};
  auto limited = restricted("b2", restriction_kind::limited);
  limited.limit_per_second = 3.3;
  limited.share_per_second = 0.99;
  const auto document = restriction_document({busy, limited, restricted("b3", restriction_kind::draining)});
  const auto expected = nlohmann::json::parse(R"({"restrictions": [
    {"backend": "b1", "service": "desk", "domain": "a", "reason": "busy", "remaining_ms": 1200},
    {"backend": "b2", "service": "desk", "domain": "a", "reason": "limited", "limit_per_second": 3.3,
     "share_per_second": 0.99},
    {"backend": "b3", "service": "desk", "domain": "a", "reason": "draining"}]})");
  EXPECT_EQ(document, expected) << document.dump();
}

TEST(restriction_report, a_metric_tells_reason_end_and_share_of_each_server) {
  auto suspended = restricted("b\"1", restriction_kind::suspended);
  suspended.remaining = duration{250};
  auto limited = restricted("b2", restriction_kind::limited);
  limited.share_per_second = 0.99;
  std::vector<gauge> gauges;
  append_gauges({suspended, limited}, gauges);
  metrics counts;
  const auto page = counts.render(gauges);
  for (const std::string line :
       {R"(zinnia_backend_restricted{backend="b\"1",service="desk",domain="a",reason="suspended"} 1)",
        R"(zinnia_backend_restricted_ms{backend="b\"1",service="desk",domain="a",reason="suspended"} 250)",
        R"(zinnia_backend_restricted{backend="b2",service="desk",domain="a",reason="limited"} 1)",
        R"(zinnia_backend_share_milli{backend="b2",service="desk",domain="a"} 990)"}) {
    EXPECT_NE(page.find(line + '\n'), std::string::npos) << line;
  }
}

class operator_interface : public testing::Test {
 protected:
  void SetUp() override {
    gateway_options options;
    options.self = node_id{"n"};
    options.own_location = {domain_a, region_id{"r"}};
    options.regions = {{domain_a, region_id{"r"}}, {domain_b, region_id{"r"}}};
    this->traffic.emplace(this->context, this->clock, this->counts, options);
    this->listener.emplace(
        this->context, this->clock, 10, [this](const std::shared_ptr<caller_exchange>& exchange) {
          respond_to_operator(*exchange, {*this->traffic, this->counts, this->alive, this->progress});
        });
    this->port = *this->listener->listen({boost::asio::ip::address_v4::loopback(), 0});
  }
  void TearDown() override {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }
  void add(const std::string& id, const failure_domain_id& domain, backend_mode mode = backend_mode::ready) {
    backend_declaration backend;
    backend.id = backend_id{id};
    backend.service = desk;
    backend.domain = domain;
    backend.mode = mode;
    this->snapshot.backends[backend.id] = backend;
  }
  void start() {
    this->snapshot.sequence = 1;
    this->snapshot.services[desk] = {desk, "/health", 100, 0};
    this->traffic->apply(std::make_shared<const routing_snapshot>(this->snapshot));
    this->thread = std::thread{[this] { this->context.run(); }};
  }
  [[nodiscard]] std::string get(const std::string& path) const {
    standins::raw_tcp_client client{this->port};
    client.send("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    return client.read_all();
  }

  boost::asio::io_context context;
  boot_clock clock;
  metrics counts;
  std::optional<gateway> traffic;
  std::optional<http_listener> listener;
  live_members alive;
  std::vector<shift_progress> progress;
  routing_snapshot snapshot;
  std::uint16_t port{0};
  std::thread thread;
};

TEST_F(operator_interface, lists_servers_that_are_out_of_use_by_declaration) {
  this->add("b1", domain_a, backend_mode::draining);
  this->add("b2", domain_a);
  this->add("b3", domain_b);
  this->add("b4", domain_a);
  this->snapshot.evacuated = {domain_b};
  this->snapshot.shifts.closed_backends = {backend_id{"b4"}};
  this->start();
  const auto response = this->get("/v1/servers");
  ASSERT_TRUE(response.starts_with("HTTP/1.1 200")) << response;
  const auto body = nlohmann::json::parse(response.substr(response.find("\r\n\r\n")), nullptr, false);
  ASSERT_TRUE(body.is_object()) << response;
  std::map<std::string, std::string> reasons;
  for (const auto& entry : body["restrictions"]) {
    reasons[entry["backend"].get<std::string>()] = entry["reason"].get<std::string>();
  }
  const std::map<std::string, std::string> expected{
      {"b1", "draining"}, {"b3", "evacuated"}, {"b4", "drained-by-shift"}};
  EXPECT_EQ(reasons, expected);
  const auto page = this->get("/metrics");
  EXPECT_NE(
      page.find(R"(zinnia_backend_restricted{backend="b3",service="desk",domain="b",reason="evacuated"} 1)"),
      std::string::npos)
      << page;
}

TEST_F(operator_interface, a_node_without_a_configuration_lists_no_server) {
  this->thread = std::thread{[this] { this->context.run(); }};
  EXPECT_NE(this->get("/v1/servers").find("\r\n\r\n{\"restrictions\":[]}\n"), std::string::npos);
}

}  // namespace
}  // namespace zinnia
