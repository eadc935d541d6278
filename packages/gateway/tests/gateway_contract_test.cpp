// A real gateway between callers' and backend servers' sockets: what is sent, repeated, refused and promised.
#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <future>
#include <thread>

#include "standins/raw_client.hpp"
#include "standins/raw_server.hpp"
#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/http_listener.hpp"

using namespace zinnia;
using standins::raw_client;
using standins::raw_script;
using standins::raw_server;

namespace {

/// Answers of backend servers; the request's id is always r1.
[[nodiscard]] raw_script answer(int status, const std::string& fields, const std::string& body = "data") {
  return {"HTTP/1.1 " + std::to_string(status) + " X\r\nRequest-Id: r1\r\n" + fields +
              "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
          true};
}
const raw_script good = answer(200, "Stamp: s\r\n");
const raw_script shed = answer(503, "Not-Run: 1\r\n", "");
const raw_script reset{"", false, 0, true};

class gateway_contract : public testing::Test {
 protected:
  void SetUp() override {
    wire_dialect dialect;
    dialect.request_id = "Request-Id";
    dialect.time_left_ms = "Left";
    dialect.object_key = "Key";
    dialect.expected_backend = "Expected";
    dialect.did_not_run = "Not-Run";
    dialect.answer_stamp = "Stamp";
    gateway_options options;
    options.self = node_id{"n"};
    options.here = {failure_domain_id{"d"}, region_id{"r"}};
    options.regions = {{failure_domain_id{"d"}, region_id{"r"}}};
    options.dialect = dialect;
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
    route rule;
    rule.name = "rule";
    rule.host = "h";
    rule.prefix = "/x/";
    rule.kind = kind;
    rule.max_attempts = 2;
    rule.timeout = duration{timeout_ms};
    rule.destinations = {{service_id{"desk"}, 1}};
    this->snapshot.routes = std::make_shared<const route_table>(std::vector<route>{rule});
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
  /// Sends one request and returns the whole answer.
  [[nodiscard]] std::string ask(const std::string& method = "GET", int left_ms = 1000) const {
    raw_client client{this->port};
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

struct outcome_case {
  const char* name;
  request_kind kind;
  raw_script first;
  /// What the second server gets and answers, if it is asked at all.
  std::string expected_status;
  int sends;
};

/// Both servers answer alike, so that it does not matter which is asked first; the second answer is good.
TEST_F(gateway_contract, repeats_only_what_may_run_again) {
  const std::vector<outcome_case> table{
      {"safe: shed", request_kind::safe, shed, "200", 2},
      {"safe: reset", request_kind::safe, reset, "200", 2},
      {"safe: error", request_kind::safe, answer(500, "Stamp: s\r\n"), "200", 2},
      {"safe: no stamp", request_kind::safe, answer(200, ""), "200", 2},
      {"safe: encoded", request_kind::safe, answer(200, "Stamp: s\r\nContent-Encoding: gzip\r\n"), "200", 2},
      {"safe: other instance", request_kind::safe, answer(421, ""), "200", 2},
      {"safe: refusal that may have run", request_kind::safe, answer(503, "Stamp: s\r\n"), "200", 2},
      {"download: cut",
       request_kind::download,
       {"HTTP/1.1 200 X\r\nRequest-Id: r1\r\nStamp: s\r\nContent-Length: 10\r\n\r\nabc"},
       "200",
       2},
      {"unsafe: shed", request_kind::unsafe, shed, "200", 2},
      {"unsafe: other instance", request_kind::unsafe, answer(421, ""), "200", 2},
      {"unsafe: reset", request_kind::unsafe, reset, "502", 1},
      {"unsafe: error", request_kind::unsafe, answer(500, "Stamp: s\r\n"), "500", 1},
      {"unsafe: refusal that may have run", request_kind::unsafe, answer(503, "Stamp: s\r\n"), "502", 1},
      {"unsafe: 429 that may have run", request_kind::unsafe, answer(429, ""), "502", 1},
      {"unsafe: no stamp", request_kind::unsafe, answer(200, ""), "502", 1},
      {"unsafe: not found there", request_kind::unsafe, answer(404, "Stamp: s\r\n"), "404", 1},
      {"by method: GET", request_kind::by_method, reset, "200", 2},
  };
  this->start();
  std::uint64_t sequence = 1;
  for (const auto& row : table) {
    std::atomic<int> sends{0};
    const auto script = [&](int) { return sends.fetch_add(1) == 0 ? row.first : good; };
    const raw_server a{script};
    const raw_server b{script};
    std::promise<void> applied;
    boost::asio::post(this->context, [&] {
      this->snapshot.backends.clear();
      this->add("a" + std::to_string(sequence), a.port());
      this->add("b" + std::to_string(sequence), b.port());
      this->route_with(row.kind);
      this->snapshot.sequence = ++sequence;
      this->traffic->apply(std::make_shared<const routing_snapshot>(this->snapshot));
      applied.set_value();
    });
    applied.get_future().wait();
    const auto seen = this->ask();
    EXPECT_TRUE(seen.starts_with("HTTP/1.1 " + row.expected_status))
        << row.name << ": " << seen.substr(0, 40);
    EXPECT_EQ(sends, row.sends) << row.name;
  }
}

TEST_F(gateway_contract, refuses_with_a_promise_when_nothing_ran) {
  const raw_server a{[](int) { return shed; }};
  const raw_server b{[](int) { return shed; }};
  this->route_with(request_kind::unsafe);
  this->add("a", a.port());
  this->add("b", b.port());
  this->start();
  const auto seen = this->ask("POST");
  EXPECT_TRUE(seen.starts_with("HTTP/1.1 503")) << seen;
  EXPECT_NE(seen.find("Retry-After: 0."), std::string::npos) << seen;
  EXPECT_NE(seen.find("Request-Id: r1"), std::string::npos) << seen;
  EXPECT_EQ(this->counts.refusals_for(reason::backend_shed), 1U);
}

TEST_F(gateway_contract, a_server_that_cannot_be_reached_costs_no_attempt) {
  std::uint16_t closed_port = 0;
  {
    const raw_server gone{[](int) { return good; }};
    closed_port = gone.port();
  }
  const raw_server b{[](int) { return good; }};
  this->route_with(request_kind::unsafe);
  this->add("a", closed_port);
  this->add("b", b.port());
  this->start();
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(this->ask("POST").starts_with("HTTP/1.1 200"));
  }
}

TEST_F(gateway_contract, answers_at_the_routes_timeout_and_leaves_the_server) {
  raw_script slow = good;
  slow.delay_ms = 1500;
  const raw_server a{[slow](int) { return slow; }};
  this->route_with(request_kind::safe, 200);
  this->add("a", a.port());
  this->start();
  EXPECT_TRUE(this->ask().starts_with("HTTP/1.1 504")) << "the server's own answer would have been 200";
}

TEST_F(gateway_contract, an_answer_cut_midway_does_not_look_complete) {
  const std::string part(200'000, 'x');
  const raw_server a{[&](int) {
    return raw_script{"HTTP/1.1 200 X\r\nRequest-Id: r1\r\nStamp: s\r\nContent-Length: 400000\r\n\r\n" +
                      part};
  }};
  this->route_with(request_kind::unsafe);
  this->add("a", a.port());
  this->start();
  const auto seen = this->ask("POST");
  EXPECT_NE(seen.find("Content-Length: 400000"), std::string::npos);
  EXPECT_LT(seen.size(), 400'000U);
}

TEST_F(gateway_contract, a_chunked_answer_cut_midway_has_no_last_chunk) {
  const std::string part(200'000, 'x');
  const raw_server a{[&](int) {
    return raw_script{
        "HTTP/1.1 200 X\r\nRequest-Id: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n61a80\r\n" + part};
  }};
  this->route_with(request_kind::unsafe);
  this->add("a", a.port());
  this->start();
  const auto seen = this->ask("POST");
  EXPECT_NE(seen.find("Transfer-Encoding: chunked"), std::string::npos);
  EXPECT_GT(seen.size(), 100'000U);
  EXPECT_EQ(seen.find("\r\n0\r\n\r\n"), std::string::npos);
}

TEST_F(gateway_contract, sends_what_is_left_of_the_time_and_names_the_instance) {
  std::promise<std::string> request;
  const raw_server a{[](int) { return good; }};
  boost::asio::io_context acceptor_context;
  boost::asio::ip::tcp::acceptor acceptor{acceptor_context, {boost::asio::ip::address_v4::loopback(), 0}};
  std::thread server{[&] {
    auto socket = acceptor.accept();
    std::string bytes(2048, '\0');
    bytes.resize(socket.read_some(boost::asio::buffer(bytes)));
    request.set_value(bytes);
    static_cast<void>(socket.write_some(boost::asio::buffer(good.reply)));
  }};
  this->route_with(request_kind::safe, 600);
  this->add("instance-7", acceptor.local_endpoint().port());
  this->start();
  EXPECT_TRUE(this->ask("GET", 1000).starts_with("HTTP/1.1 200"));
  server.join();
  const auto seen = request.get_future().get();
  EXPECT_NE(seen.find("Expected: instance-7\r\n"), std::string::npos) << seen;
  const auto at = seen.find("Left: ");
  ASSERT_NE(at, std::string::npos);
  const int left = std::stoi(seen.substr(at + 6));
  EXPECT_LE(left, 600);
  EXPECT_GT(left, 400);
  EXPECT_EQ(seen.find("Left: 1000"), std::string::npos);
  EXPECT_EQ(seen.find("Connection: close"), std::string::npos);
}

TEST_F(gateway_contract, answers_before_a_configuration_and_for_unknown_routes) {
  this->thread = std::thread{[this] { this->context.run(); }};
  EXPECT_TRUE(this->ask().starts_with("HTTP/1.1 503"));
  std::promise<void> applied;
  boost::asio::post(this->context, [&] {
    this->snapshot.sequence = 1;
    this->snapshot.version = config_version{1};
    this->snapshot.routes = std::make_shared<const route_table>(std::vector<route>{});
    this->traffic->apply(std::make_shared<const routing_snapshot>(this->snapshot));
    applied.set_value();
  });
  applied.get_future().wait();
  EXPECT_TRUE(this->ask().starts_with("HTTP/1.1 404"));
}

TEST_F(gateway_contract, a_request_without_an_id_is_answered) {
  const raw_server a{[](int) { return good; }};
  this->route_with(request_kind::safe);
  this->add("a", a.port());
  this->start();
  raw_client client{this->port};
  client.send("GET /x/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(client.read_all().starts_with("HTTP/1.1 200"));
}

TEST_F(gateway_contract, remembers_what_became_of_a_request) {
  const raw_server a{[](int) { return good; }};
  this->route_with(request_kind::safe);
  this->add("a", a.port());
  this->start();
  EXPECT_TRUE(this->ask().starts_with("HTTP/1.1 200"));
  std::promise<std::optional<std::string>> record;
  boost::asio::post(this->context, [&] { record.set_value(this->traffic->find_record("r1")); });
  const auto found = record.get_future().get();
  ASSERT_TRUE(found);
  EXPECT_NE(found->find(R"("status":200)"), std::string::npos) << *found;
  EXPECT_NE(found->find(R"("attempts":"a=ok)"), std::string::npos) << *found;
}

/// The caller's close must reach the server, long before the request's time is over.
TEST_F(gateway_contract, a_caller_that_leaves_ends_the_work) {
  boost::asio::io_context acceptor_context;
  boost::asio::ip::tcp::acceptor acceptor{acceptor_context, {boost::asio::ip::address_v4::loopback(), 0}};
  std::promise<void> closed;
  std::thread server{[&] {
    auto socket = acceptor.accept();
    std::string bytes(2048, '\0');
    boost::system::error_code problem;
    while (!problem) {
      socket.read_some(boost::asio::buffer(bytes), problem);
    }
    closed.set_value();
  }};
  this->route_with(request_kind::safe, 60'000);
  this->add("a", acceptor.local_endpoint().port());
  this->start();
  raw_client client{this->port};
  client.send("GET /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 60000\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  client.close();
  closed.get_future().get();
  EXPECT_EQ(this->counts.refusals_for(reason::route_timeout), 0U);
  server.join();
}

}  // namespace
