// Requests that a node without links to the backend servers hands to a peer: what callers, peers and servers
// get of them.
#include <algorithm>

#include "forwarding_fixture.hpp"
#include "hop_fields.hpp"
#include "standins/scripted_tcp_server.hpp"
#include "zinnia/gateway/forwarding_limits.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;
using standins::raw_tcp_client;
using standins::scripted_response;
using standins::scripted_tcp_server;

namespace {

class forwarding : public forwarding_fixture {};

[[nodiscard]] bool has_hop_field(const header_fields& fields) {
  return std::any_of(fields.begin(), fields.end(),
                     [](const header_field& field) { return field.name.starts_with("Zinnia-Hop"); });
}
/// A peer's response to request r1.
[[nodiscard]] std::string peer_response(int status, const hop_result& result, const std::string& fields,
                                        const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields;
  append_fields(text, encode_hop_fields(result));
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
TEST_F(forwarding, a_peer_serves_the_requests_of_a_node_without_links) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::unsafe);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  this->set_links_lost(a);
  const auto response = exchange_with(a.caller_port, make_request("POST", "body", "Custom: kept\r\n"));
  EXPECT_EQ(status_of(response), 200) << response;
  EXPECT_TRUE(response.ends_with("\r\n\r\ndata")) << response;
  EXPECT_NE(response.find("Stamp: s\r\n"), std::string::npos) << response;
  EXPECT_NE(response.find("Request-Id: r1\r\n"), std::string::npos) << response;
  EXPECT_EQ(response.find("Zinnia-Hop"), std::string::npos) << response;
  this->run_there([&] {
    ASSERT_EQ(server.requests.size(), 1U);
    const auto& got = *server.requests.front();
    EXPECT_EQ(got.head().method, "POST");
    EXPECT_EQ(got.head().target, "/x/1?q=2");
    EXPECT_EQ(got.body().str(), "body");
    EXPECT_EQ(find_field(got.head().fields, "Custom"), "kept");
    EXPECT_EQ(find_field(got.head().fields, "Expected"), "s1");
    EXPECT_FALSE(has_hop_field(got.head().fields));
  });
  EXPECT_EQ(a.counts.value(counter::requests_forwarded), 1U);
  EXPECT_EQ(b.counts.value(counter::forwarded_received), 1U);
  EXPECT_EQ(b.counts.value(counter::requests), 0U);
  const auto at_a = this->record_of(a);
  EXPECT_NE(at_a.find(R"("forwarded_to":"b")"), std::string::npos) << at_a;
  EXPECT_NE(at_a.find(R"("verdict":"ran")"), std::string::npos) << at_a;
  EXPECT_NE(at_a.find(R"("attempts":"via:b=ok/)"), std::string::npos) << at_a;
  const auto at_b = this->record_of(b);
  EXPECT_NE(at_b.find(R"("forwarded_from":"a")"), std::string::npos) << at_b;
  EXPECT_NE(at_b.find(R"("attempts":"s1=ok/)"), std::string::npos) << at_b;
}

TEST_F(forwarding, a_route_prefix_is_removed_once) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::safe);
  auto stripped = *this->snapshot.routes->find("h", "/x/");
  stripped.stripped_prefix_length = 2;
  this->snapshot.routes = std::make_shared<const route_table>(std::vector<route>{stripped});
  auto& a = this->add_node("a");
  this->add_node("b");
  this->start();
  this->set_links_lost(a);
  EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request())), 200);
  ASSERT_EQ(this->request_count(server), 1U);
  EXPECT_EQ(this->run_there([&] { return server.requests.front()->head().target; }), "/1?q=2");
}

TEST_F(forwarding, a_request_is_refused_at_once_if_no_node_has_links) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::unsafe, 60'000);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  auto& c = this->add_node("c");
  auto& d = this->add_node("d");
  this->start();
  for (auto* const node : {&a, &b, &c, &d}) {
    this->set_links_lost(*node);
  }
  const auto response = exchange_with(a.caller_port, make_request("POST"));
  EXPECT_EQ(status_of(response), 503) << response;
  EXPECT_NE(response.find("Retry-After: "), std::string::npos) << response;
  EXPECT_EQ(this->request_count(server), 0U);
  EXPECT_EQ(a.counts.refusals_for(reason::links_lost), 1U);
  EXPECT_EQ(a.counts.value(counter::forwarded_received), 0U) << "the request came back";
  const auto received = b.counts.value(counter::forwarded_received) +
                        c.counts.value(counter::forwarded_received) +
                        d.counts.value(counter::forwarded_received);
  EXPECT_EQ(received, max_peers_tried);
  EXPECT_EQ(b.counts.value(counter::requests_forwarded) + c.counts.value(counter::requests_forwarded) +
                d.counts.value(counter::requests_forwarded),
            0U);
  const auto record = this->record_of(a);
  EXPECT_NE(record.find(R"("verdict":"did-not-run")"), std::string::npos) << record;
}

TEST_F(forwarding, a_node_without_peers_refuses_at_once) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::safe, 60'000);
  auto& a = this->add_node("a");
  this->start();
  this->set_links_lost(a);
  EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request())), 503);
  EXPECT_EQ(this->request_count(server), 0U);
}

/// Fields that a caller sets neither stop a request from being forwarded nor reach a server.

TEST_F(forwarding, callers_cannot_set_the_fields_between_nodes) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::safe);
  auto& a = this->add_node("a");
  this->add_node("b");
  this->start();
  std::string forged;
  append_fields(forged, encode_hop_fields(
                            {node_id{"x"}, config_version{99}, service_id{"other"}, 1, {backend_id{"s1"}}}));
  append_fields(forged, encode_hop_fields({verdict::did_not_run, reason::links_lost, 0}));
  EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request("GET", "", forged))), 200);
  this->set_links_lost(a);
  EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request("GET", "", forged))), 200);
  this->run_there([&] {
    ASSERT_EQ(server.requests.size(), 2U);
    EXPECT_FALSE(has_hop_field(server.requests[0]->head().fields));
    EXPECT_FALSE(has_hop_field(server.requests[1]->head().fields));
  });
}

TEST_F(forwarding, servers_cannot_set_the_fields_between_nodes) {
  auto& server = this->add_server("s1");
  server.respond = [](const auto& exchange) {
    backend_server::answer(*exchange, 200, "data",
                           {{"Stamp", "s"},
                            {"Zinnia-Hop-Verdict", "did-not-run"},
                            {"Zinnia-Hop-Reason", "links-lost"},
                            {"Zinnia-Hop-Sent", "0"}});
  };
  this->set_route(request_kind::unsafe);
  auto& a = this->add_node("a");
  this->add_node("b");
  this->add_node("c");
  this->start();
  this->set_links_lost(a);
  const auto response = exchange_with(a.caller_port, make_request("POST"));
  EXPECT_EQ(status_of(response), 200) << response;
  EXPECT_EQ(response.find("Zinnia-Hop"), std::string::npos) << response;
  EXPECT_EQ(this->request_count(server), 1U);
}

TEST_F(forwarding, a_request_without_the_senders_fields_is_not_served) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::safe);
  auto& b = this->add_node("b");
  this->start();
  EXPECT_EQ(status_of(exchange_with(b.forward_port, make_request())), 400);
  EXPECT_EQ(this->request_count(server), 0U);
}

struct answer_case {
  const char* name;
  request_kind kind;
  int server_status;
  header_fields server_fields;
  /// What the caller gets.
  int expected_status;
  bool has_retry_after;
  /// The number of servers, of two, that get the request.
  std::size_t sent_count;
};

TEST_F(forwarding, what_a_peer_says_keeps_its_meaning) {
  auto& first = this->add_server("s1");
  auto& second = this->add_server("s2");
  auto& a = this->add_node("a");
  this->add_node("b");
  this->add_node("c");
  this->set_route(request_kind::safe);
  this->start();
  this->set_links_lost(a);
  const header_fields stamp{{"Stamp", "s"}};
  const header_fields not_run{{"Not-Run", "1"}};
  const std::vector<answer_case> cases{
      {"unsafe: success", request_kind::unsafe, 200, stamp, 200, false, 1},
      {"unsafe: not found there", request_kind::unsafe, 404, stamp, 404, false, 1},
      {"unsafe: error", request_kind::unsafe, 500, stamp, 500, false, 1},
      {"unsafe: shed", request_kind::unsafe, 503, not_run, 503, true, 2},
      {"unsafe: refusal that may have run", request_kind::unsafe, 503, stamp, 502, false, 1},
      {"unsafe: 429 that may have run", request_kind::unsafe, 429, {}, 502, false, 1},
      {"unsafe: no stamp", request_kind::unsafe, 200, {}, 502, false, 1},
      {"safe: shed", request_kind::safe, 503, not_run, 503, true, 2},
      {"safe: error", request_kind::safe, 500, stamp, 500, false, 2},
      {"safe: no stamp", request_kind::safe, 200, {}, 502, false, 2},
  };
  for (const auto& row : cases) {
    this->run_there([&] {
      this->set_route(row.kind);
      this->apply_to_all();
      for (auto* const server : {&first, &second}) {
        server->requests.clear();
        server->respond = [&row](const auto& exchange) {
          backend_server::answer(*exchange, row.server_status, "", row.server_fields);
        };
      }
    });
    const auto response = exchange_with(a.caller_port, make_request("POST"));
    EXPECT_EQ(status_of(response), row.expected_status) << row.name << ": " << response;
    EXPECT_EQ(response.find("Retry-After: ") != std::string::npos, row.has_retry_after) << row.name;
    EXPECT_EQ(this->request_count(first) + this->request_count(second), row.sent_count) << row.name;
  }
}

struct peer_case {
  const char* name;
  scripted_response response;
  int expected_status;
  /// True if the other peer gets the request.
  bool tries_other;
};

/// One of the two peers is scripted, and either may be chosen first.

TEST_F(forwarding, a_request_that_may_have_run_at_a_peer_is_not_handed_on) {
  this->set_route(request_kind::unsafe);
  auto& a = this->add_node("a");
  this->start();
  this->set_links_lost(a);
  const auto refused = [](reason why, verdict ran, int sent) {
    return scripted_response{
        peer_response(503, {ran, why, sent}, "Request-Id: r1\r\nRetry-After: 0.123\r\n", "")};
  };
  const auto answered = [](const std::string& id) {
    return scripted_response{peer_response(200, {verdict::ran, reason::none, 1},
                                           "Stamp: s\r\nRequest-Id: " + id + "\r\n", "data")};
  };
  const std::vector<peer_case> cases{
      {"reset", {"", false, 0, true}, 502, false},
      {"closed", {""}, 502, false},
      {"cut in the head", {"HTTP/1.1 200 X\r\nStam"}, 502, false},
      {"cut in the body",
       {"HTTP/1.1 200 X\r\nRequest-Id: r1\r\nStamp: s\r\nZinnia-Hop-Verdict: ran\r\nZinnia-Hop-Reason: "
        "none\r\n"
        "Zinnia-Hop-Sent: 1\r\nContent-Length: 10\r\n\r\nabc"},
       502,
       false},
      {"without the peer's fields",
       {"HTTP/1.1 200 X\r\nRequest-Id: r1\r\nStamp: s\r\nContent-Length: 0\r\n\r\n"},
       502,
       false},
      {"refusal without the peer's fields",
       {"HTTP/1.1 503 X\r\nRequest-Id: r1\r\nContent-Length: 0\r\n\r\n"},
       502,
       false},
      {"a success without a stamp",
       {peer_response(200, {verdict::ran, reason::none, 1}, "Request-Id: r1\r\n", "data")},
       502,
       false},
      {"response to another request", answered("r2"), 502, false},
      {"may have run", refused(reason::backend_error, verdict::may_have_run, 1), 502, false},
      {"a refusal after an attempt", refused(reason::links_lost, verdict::did_not_run, 1), 503, false},
      {"a refusal by placement", refused(reason::wait_exceeds_deadline, verdict::did_not_run, 0), 503, false},
      {"no links", refused(reason::links_lost, verdict::did_not_run, 0), 503, true},
      {"no room", refused(reason::peer_busy, verdict::did_not_run, 0), 503, true},
      {"an older configuration", refused(reason::no_settings, verdict::did_not_run, 0), 503, true},
      {"answered", answered("r1"), 200, false},
  };
  for (const auto& row : cases) {
    const scripted_tcp_server one{[&](int) { return row.response; }};
    const scripted_tcp_server other{[&](int) { return row.response; }};
    const std::string name{row.name};
    this->run_there([&] {
      set_peers(a, {make_peer(name + "1", one.port()), make_peer(name + "2", other.port())});
    });
    const auto response = exchange_with(a.caller_port, make_request("POST"));
    EXPECT_EQ(status_of(response), row.expected_status) << row.name << ": " << response;
    EXPECT_EQ(one.requests() + other.requests(), row.tries_other ? 2 : 1) << row.name;
    const bool is_peers_retry_after = response.find("Retry-After: 0.123") != std::string::npos;
    EXPECT_EQ(is_peers_retry_after, row.expected_status == 503 && !row.tries_other)
        << row.name << ": " << response;
  }
}

TEST_F(forwarding, another_peer_serves_if_the_first_cannot_be_reached) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::unsafe);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  std::uint16_t closed_port = 0;
  {
    const scripted_tcp_server gone{[](int) { return scripted_response{}; }};
    closed_port = gone.port();
  }
  this->start();
  this->set_links_lost(a);
  this->run_there([&] { set_peers(a, {make_peer("b", b.forward_port), make_peer("gone", closed_port)}); });
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request("POST", "", "", "r" + std::to_string(i)))),
              200);
  }
  EXPECT_EQ(this->request_count(server), 8U);
}

TEST_F(forwarding, several_peers_get_the_requests_of_a_node_without_links) {
  this->add_server("s1");
  this->set_route(request_kind::safe);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  auto& c = this->add_node("c");
  this->start();
  this->set_links_lost(a);
  for (int i = 0; i < 20; ++i) {
    EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request("GET", "", "", "r" + std::to_string(i)))),
              200);
  }
  EXPECT_GE(b.counts.value(counter::forwarded_received), 5U);
  EXPECT_GE(c.counts.value(counter::forwarded_received), 5U);
}

class forwarding_truncated : public forwarding_fixture {
 protected:
  /// Returns what the caller gets of a response that breaks off at the server.
  [[nodiscard]] std::string receive_truncated(std::optional<std::uint64_t> content_length) {
    auto& server = this->add_server("s1");
    server.respond = [content_length](const auto& exchange) {
      response_head head;
      head.status = 200;
      head.fields = {{"Request-Id", "r1"}, {"Stamp", "s"}};
      head.content_length = content_length;
      exchange->begin(head);
      exchange->write(std::string(200'000, 'x'));
    };
    this->set_route(request_kind::unsafe, 20'000);
    auto& a = this->add_node("a");
    this->add_node("b");
    this->start();
    this->set_links_lost(a);
    raw_tcp_client client{a.caller_port};
    client.send(make_request("POST"));
    EXPECT_EQ(status_of(client.read_until("xxx", patience_ms)), 200);
    this->run_there([&] {
      for (const auto& request : server.requests) {
        request->abort();
      }
    });
    auto response = client.read_all(patience_ms);
    EXPECT_TRUE(client.is_closed());
    return response;
  }
};

TEST_F(forwarding_truncated, a_response_with_a_length_is_shorter) {
  const auto response = this->receive_truncated(400'000);
  EXPECT_NE(response.find("Content-Length: 400000"), std::string::npos);
  EXPECT_LT(response.size(), 400'000U);
}

TEST_F(forwarding_truncated, a_chunked_response_has_no_last_chunk) {
  const auto response = this->receive_truncated(std::nullopt);
  EXPECT_NE(response.find("Transfer-Encoding: chunked"), std::string::npos);
  EXPECT_EQ(response.find("\r\n0\r\n\r\n"), std::string::npos);
}

TEST_F(forwarding, large_bodies_pass_both_ways) {
  constexpr std::size_t size = 12 << 20;
  auto& server = this->add_server("s1");
  server.respond = [](const auto& exchange) {
    backend_server::answer(*exchange, 200, exchange->body().str());
  };
  this->set_route(request_kind::unsafe, 20'000);
  auto& a = this->add_node("a");
  this->add_node("b");
  this->start();
  this->set_links_lost(a);
  std::string body(size, 'x');
  for (std::size_t i = 0; i < size; i += 997) {
    body[i] = static_cast<char>('a' + i % 26);
  }
  const auto response = exchange_with(a.caller_port, make_request("POST", body));
  EXPECT_EQ(status_of(response), 200);
  EXPECT_TRUE(response.ends_with("\r\n\r\n" + body)) << response.size();
}

/// A caller that does not read makes the whole chain pause, up to the server.

TEST_F(forwarding, a_slow_caller_pauses_the_server) {
  constexpr std::size_t size = 64 << 20;
  auto& server = this->add_server("s1");
  const auto body = std::make_shared<const std::string>(size, 'x');
  std::shared_ptr<caller_exchange> sending;
  server.respond = [&, body](const auto& exchange) {
    sending = exchange;
    backend_server::answer(*exchange, 200, *body);
  };
  this->set_route(request_kind::safe, 20'000);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  this->set_links_lost(a);
  raw_tcp_client client{a.caller_port};
  client.send(make_request());
  ASSERT_NE(client.read_until("\r\n\r\n").find("200"), std::string::npos);
  // What the chain holds without a reader stays below this.
  constexpr std::uint64_t max_held = 32 << 20;
  std::uint64_t previous = 0;
  std::uint64_t taken = 1;
  while (taken != previous) {
    previous = taken;
    std::this_thread::sleep_for(std::chrono::milliseconds{200});
    taken = a.counts.value(counter::answer_bytes) + b.counts.value(counter::answer_bytes);
  }
  EXPECT_LT(a.counts.value(counter::answer_bytes), max_held);
  EXPECT_LT(b.counts.value(counter::answer_bytes), max_held);
  const auto response = client.read_all(20'000);
  EXPECT_GT(response.size(), size);
}

}  // namespace
