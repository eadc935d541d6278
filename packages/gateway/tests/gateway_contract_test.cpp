// Runs a gateway between sockets of callers and backend servers: what it sends, retries, refuses and
// forwards.
#include "gateway_fixture.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;

namespace {

struct outcome_case {
  const char* name;
  request_kind kind;
  /// Response to the first request that reaches a server; a second request gets `good_response`.
  scripted_response first_response;
  /// Status that the caller receives.
  std::string expected_status;
  /// The number of requests that reach the two servers together.
  int sent_count;
};

/// Both servers play the same script, so that the order in which they are chosen does not matter.
TEST_F(gateway_contract, retries_only_requests_that_may_run_again) {
  const std::vector<outcome_case> cases{
      {"safe: shed", request_kind::safe, shed_response, "200", 2},
      {"safe: reset", request_kind::safe, connection_reset, "200", 2},
      {"safe: error", request_kind::safe, make_response(500, "Stamp: s\r\n"), "200", 2},
      {"safe: no stamp", request_kind::safe, make_response(200, ""), "200", 2},
      {"safe: encoded", request_kind::safe, make_response(200, "Stamp: s\r\nContent-Encoding: gzip\r\n"),
       "200", 2},
      {"safe: other instance", request_kind::safe, make_response(421, ""), "200", 2},
      {"safe: refusal that may have run", request_kind::safe, make_response(503, "Stamp: s\r\n"), "200", 2},
      {"download: cut",
       request_kind::download,
       {"HTTP/1.1 200 X\r\nRequest-Id: r1\r\nStamp: s\r\nContent-Length: 10\r\n\r\nabc"},
       "200",
       2},
      {"unsafe: shed", request_kind::unsafe, shed_response, "200", 2},
      {"unsafe: other instance", request_kind::unsafe, make_response(421, ""), "200", 2},
      {"unsafe: reset", request_kind::unsafe, connection_reset, "502", 1},
      {"unsafe: error", request_kind::unsafe, make_response(500, "Stamp: s\r\n"), "500", 1},
      {"unsafe: refusal that may have run", request_kind::unsafe, make_response(503, "Stamp: s\r\n"), "502",
       1},
      {"unsafe: 429 that may have run", request_kind::unsafe, make_response(429, ""), "502", 1},
      {"unsafe: no stamp", request_kind::unsafe, make_response(200, ""), "502", 1},
      {"unsafe: not found there", request_kind::unsafe, make_response(404, "Stamp: s\r\n"), "404", 1},
      {"by method: GET", request_kind::by_method, connection_reset, "200", 2},
  };
  this->start();
  std::uint64_t sequence = 1;
  for (const auto& row : cases) {
    std::atomic<int> sent_count{0};
    const auto script = [&](int) {
      return sent_count.fetch_add(1) == 0 ? row.first_response : good_response;
    };
    const scripted_tcp_server a{script, good_response};
    const scripted_tcp_server b{script, good_response};
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
    const auto received = this->send_request();
    EXPECT_TRUE(received.starts_with("HTTP/1.1 " + row.expected_status))
        << row.name << ": " << received.substr(0, 40);
    EXPECT_EQ(sent_count, row.sent_count) << row.name;
  }
}

TEST_F(gateway_contract, refuses_with_retry_after_when_no_attempt_ran) {
  const scripted_tcp_server a{[](int) { return shed_response; }};
  const scripted_tcp_server b{[](int) { return shed_response; }};
  this->route_with(request_kind::unsafe);
  this->add("a", a.port());
  this->add("b", b.port());
  this->start();
  const auto received = this->send_request("POST");
  EXPECT_TRUE(received.starts_with("HTTP/1.1 503")) << received;
  EXPECT_NE(received.find("Retry-After: 0."), std::string::npos) << received;
  EXPECT_NE(received.find("Request-Id: r1"), std::string::npos) << received;
  EXPECT_EQ(this->counts.refusals_for(reason::backend_shed), 1U);
}

TEST_F(gateway_contract, an_unreachable_server_does_not_use_up_an_attempt) {
  std::uint16_t closed_port = 0;
  {
    const scripted_tcp_server gone{[](int) { return good_response; }};
    closed_port = gone.port();
  }
  const scripted_tcp_server b{[](int) { return good_response; }};
  this->route_with(request_kind::unsafe);
  this->add("a", closed_port);
  this->add("b", b.port());
  this->start();
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(this->send_request("POST").starts_with("HTTP/1.1 200"));
  }
}

TEST_F(gateway_contract, responds_with_504_at_the_route_timeout) {
  scripted_response slow = good_response;
  slow.delay_ms = 1500;
  const scripted_tcp_server a{[slow](int) { return slow; }};
  this->route_with(request_kind::safe, 200);
  this->add("a", a.port());
  this->start();
  EXPECT_TRUE(this->send_request().starts_with("HTTP/1.1 504"))
      << "the server's own response would have been 200";
}

TEST_F(gateway_contract, a_truncated_response_does_not_look_complete) {
  const std::string part(200'000, 'x');
  const scripted_tcp_server a{[&](int) {
    return scripted_response{
        "HTTP/1.1 200 X\r\nRequest-Id: r1\r\nStamp: s\r\nContent-Length: 400000\r\n\r\n" + part};
  }};
  this->route_with(request_kind::unsafe);
  this->add("a", a.port());
  this->start();
  const auto received = this->send_request("POST");
  EXPECT_NE(received.find("Content-Length: 400000"), std::string::npos);
  EXPECT_LT(received.size(), 400'000U);
}

TEST_F(gateway_contract, a_truncated_chunked_response_has_no_last_chunk) {
  const std::string part(200'000, 'x');
  const scripted_tcp_server a{[&](int) {
    return scripted_response{
        "HTTP/1.1 200 X\r\nRequest-Id: r1\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n61a80\r\n" + part};
  }};
  this->route_with(request_kind::unsafe);
  this->add("a", a.port());
  this->start();
  const auto received = this->send_request("POST");
  EXPECT_NE(received.find("Transfer-Encoding: chunked"), std::string::npos);
  EXPECT_GT(received.size(), 100'000U);
  EXPECT_EQ(received.find("\r\n0\r\n\r\n"), std::string::npos);
}

TEST_F(gateway_contract, sends_the_remaining_time_and_the_expected_instance) {
  std::promise<std::string> request;
  const scripted_tcp_server a{[](int) { return good_response; }};
  boost::asio::io_context acceptor_context;
  boost::asio::ip::tcp::acceptor acceptor{acceptor_context, {boost::asio::ip::address_v4::loopback(), 0}};
  std::thread server{[&] {
    auto socket = acceptor.accept();
    std::string bytes(2048, '\0');
    bytes.resize(socket.read_some(boost::asio::buffer(bytes)));
    request.set_value(bytes);
    static_cast<void>(socket.write_some(boost::asio::buffer(good_response.reply)));
  }};
  this->route_with(request_kind::safe, 600);
  this->add("instance-7", acceptor.local_endpoint().port());
  this->start();
  EXPECT_TRUE(this->send_request("GET", 1000).starts_with("HTTP/1.1 200"));
  server.join();
  const auto received = request.get_future().get();
  EXPECT_NE(received.find("Expected: instance-7\r\n"), std::string::npos) << received;
  const auto at = received.find("Left: ");
  ASSERT_NE(at, std::string::npos);
  const int left = std::stoi(received.substr(at + 6));
  EXPECT_LE(left, 600);
  EXPECT_GT(left, 400);
  EXPECT_EQ(received.find("Left: 1000"), std::string::npos);
  EXPECT_EQ(received.find("Connection: close"), std::string::npos);
}

TEST_F(gateway_contract, responds_with_503_without_configuration_and_404_for_unknown_routes) {
  this->thread = std::thread{[this] { this->context.run(); }};
  EXPECT_TRUE(this->send_request().starts_with("HTTP/1.1 503"));
  std::promise<void> applied;
  boost::asio::post(this->context, [&] {
    this->snapshot.sequence = 1;
    this->snapshot.version = config_version{1};
    this->snapshot.routes = std::make_shared<const route_table>(std::vector<route>{});
    this->traffic->apply(std::make_shared<const routing_snapshot>(this->snapshot));
    applied.set_value();
  });
  applied.get_future().wait();
  EXPECT_TRUE(this->send_request().starts_with("HTTP/1.1 404"));
}

TEST_F(gateway_contract, responds_to_a_request_without_an_id) {
  const scripted_tcp_server a{[](int) { return good_response; }};
  this->route_with(request_kind::safe);
  this->add("a", a.port());
  this->start();
  raw_tcp_client client{this->port};
  client.send("GET /x/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  EXPECT_TRUE(client.read_all().starts_with("HTTP/1.1 200"));
}

TEST_F(gateway_contract, a_server_that_says_it_is_busy_gets_no_more_requests) {
  const scripted_tcp_server busy{
      [](int) { return make_response(503, "Not-Run: 1\r\nRetry-After: 30\r\n", ""); }};
  this->route_with(request_kind::unsafe);
  this->add("a", busy.port());
  this->start();
  for (int i = 0; i < 5; ++i) {
    const auto response = this->send_request("POST");
    EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
    EXPECT_NE(response.find("Retry-After: "), std::string::npos) << response;
  }
  EXPECT_EQ(busy.requests(), 1);
  EXPECT_EQ(this->counts.value(counter::services_without_backend), 1U);
  EXPECT_GE(this->counts.refusals_for(reason::backend_busy), 4U);
}

/// The entry of the server stays as it is: nodes hear of the leaving from the response alone.
TEST_F(gateway_contract, a_server_that_says_it_is_leaving_gets_no_more_requests) {
  const std::vector<std::pair<const char*, scripted_response>> cases{
      {"success", make_response(200, "Stamp: s\r\nLeaving: 1\r\n")},
      {"error", make_response(500, "Stamp: s\r\nLeaving: 1\r\n")},
      {"refused", make_response(503, "Not-Run: 1\r\nLeaving: 1\r\n", "")},
      {"body cut",
       {"HTTP/1.1 200 X\r\nRequest-Id: r1\r\nStamp: s\r\nLeaving: 1\r\nContent-Length: 10\r\n\r\nabc"}},
  };
  std::vector<std::unique_ptr<scripted_tcp_server>> servers;
  this->route_with(request_kind::unsafe);
  this->start();
  std::uint64_t sequence = 1;
  for (const auto& item : cases) {
    const std::string name{item.first};
    servers.push_back(std::make_unique<scripted_tcp_server>([&item](int) { return item.second; }));
    std::promise<void> applied;
    boost::asio::post(this->context, [&] {
      this->snapshot.backends.clear();
      this->add(name, servers.back()->port());
      this->snapshot.sequence = ++sequence;
      this->traffic->apply(std::make_shared<const routing_snapshot>(this->snapshot));
      applied.set_value();
    });
    applied.get_future().wait();
    for (int i = 0; i < 4; ++i) {
      const auto last = this->send_request("POST");
      EXPECT_TRUE(i == 0 || last.starts_with("HTTP/1.1 503")) << name << ": " << last;
    }
    EXPECT_EQ(servers.back()->requests(), 1) << name;
  }
}

/// A server that starts again under its id may have another address; idle connections to the old one must not
/// be used.
TEST_F(gateway_contract, follows_a_server_to_its_new_address) {
  const scripted_tcp_server before{[](int) { return make_response(200, "Stamp: s\r\n", "before"); }};
  const scripted_tcp_server after{[](int) { return make_response(200, "Stamp: s\r\n", "after"); }};
  this->route_with(request_kind::unsafe);
  this->add("a", before.port());
  this->start();
  EXPECT_NE(this->send_request("POST").find("before"), std::string::npos);
  std::promise<void> applied;
  boost::asio::post(this->context, [&] {
    this->add("a", after.port());
    this->snapshot.sequence = 2;
    this->traffic->apply(std::make_shared<const routing_snapshot>(this->snapshot));
    applied.set_value();
  });
  applied.get_future().wait();
  EXPECT_NE(this->send_request("POST").find("after"), std::string::npos);
}

TEST_F(gateway_contract, sends_nothing_to_an_address_that_cannot_be_read) {
  // 0.0.0.0 would reach this server.
  const scripted_tcp_server listening{[](int) { return good_response; }};
  this->route_with(request_kind::unsafe);
  this->add("a", listening.port());
  this->snapshot.backends.at(backend_id{"a"}).address.ip = "not an address";
  this->start();
  EXPECT_TRUE(this->send_request("POST").starts_with("HTTP/1.1 503"));
}

/// The route's timeout bounds the server's time. A caller that is still reading then gets the rest.
TEST_F(gateway_contract, a_caller_may_read_on_after_the_timeout) {
  constexpr std::size_t size = 32 << 20;
  const std::string body(size, 'x');
  const scripted_tcp_server a{[&](int) { return make_response(200, "Stamp: s\r\n", body); }};
  this->route_with(request_kind::safe, 300);
  this->add("a", a.port());
  this->start();
  raw_tcp_client client{this->port};
  client.send("GET /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 300\r\nConnection: close\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds{700});
  const auto received = client.read_all(20'000);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200"));
  EXPECT_GT(received.size(), size);
}

TEST_F(gateway_contract, keeps_a_record_of_a_finished_request) {
  const scripted_tcp_server a{[](int) { return good_response; }};
  this->route_with(request_kind::safe);
  this->add("a", a.port());
  this->start();
  EXPECT_TRUE(this->send_request().starts_with("HTTP/1.1 200"));
  std::promise<std::optional<std::string>> record;
  boost::asio::post(this->context, [&] { record.set_value(this->traffic->find_record("r1")); });
  const auto found = record.get_future().get();
  ASSERT_TRUE(found);
  EXPECT_NE(found->find(R"("status":200)"), std::string::npos) << *found;
  EXPECT_NE(found->find(R"("attempts":"a=ok)"), std::string::npos) << *found;
}

/// Guards against calls that occupy a backend server after their caller has left. The gateway closes the
/// connection to the server long before the request's deadline.
TEST_F(gateway_contract, a_caller_that_leaves_cancels_the_call) {
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
  raw_tcp_client client{this->port};
  client.send("GET /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 60000\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds{100});
  client.close();
  closed.get_future().get();
  EXPECT_EQ(this->counts.refusals_for(reason::route_timeout), 0U);
  server.join();
}

TEST_F(gateway_contract, a_node_that_has_just_started_uses_no_share_of_the_retries_of_all_nodes) {
  const scripted_tcp_server full{[](int) { return shed_response; }};
  this->route_with(request_kind::safe);
  this->add("s1", full.port());
  this->add("s2", full.port());
  gateway_nodes unknown;
  unknown.is_list_complete = false;
  this->traffic->set_nodes(std::move(unknown));
  this->start();
  EXPECT_TRUE(this->send_request().starts_with("HTTP/1.1 503"));
  EXPECT_EQ(full.requests(), 1);
}

TEST_F(gateway_contract, tells_how_much_of_the_retry_budget_is_used) {
  const scripted_tcp_server full{[](int) { return shed_response; }};
  this->route_with(request_kind::safe);
  this->add("s1", full.port());
  this->add("s2", full.port());
  this->start();
  static_cast<void>(this->send_request());
  std::promise<std::vector<gauge>> told;
  boost::asio::post(this->context, [&] { told.set_value(this->traffic->gauges()); });
  std::map<std::string, std::int64_t> values;
  for (const auto& each : told.get_future().get()) {
    values[each.name + each.labels] = each.value;
  }
  EXPECT_EQ(values["zinnia_retry_window_requestsservice=\"desk\""], 1);
  EXPECT_EQ(values["zinnia_retry_window_retriesservice=\"desk\""], 1);
  EXPECT_GT(values["zinnia_retry_tokensservice=\"desk\""], 1);
  EXPECT_EQ(this->counts.value(counter::retries_over_budget), 0U);
}

}  // namespace
