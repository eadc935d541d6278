// The limits of requests that nodes forward to each other: time, attempts, retries, regions, configurations
// and the load of a peer.
#include "zinnia/gateway/forwarding_limits.hpp"
#include "forwarding_fixture.hpp"
#include "hop_fields.hpp"
#include "request_fingerprint.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;
using standins::raw_tcp_client;

namespace {

class forwarding_limits : public forwarding_fixture {};

/// The head of a request as another node forwards it.
[[nodiscard]] std::string forwarded_request_text(const forwarded_request& forwarded, const std::string& id) {
  std::string text = "GET /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nLeft: 20000\r\n";
  append_fields(text, encode_hop_fields(forwarded));
  return text + "Content-Length: 0\r\n\r\n";
}

TEST_F(forwarding_limits, a_caller_that_leaves_cancels_the_call_at_the_server) {
  auto& server = this->add_server("s1");
  server.respond = [](const auto&) {};
  this->set_route(request_kind::safe, 60'000);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  this->set_links_lost(a);
  raw_tcp_client client{a.caller_port};
  client.send(make_request());
  ASSERT_TRUE(this->wait_until([&] { return server.requests.size() == 1; }));
  client.close();
  EXPECT_TRUE(this->wait_until([&] { return server.disconnects == 1; }));
  EXPECT_TRUE(this->wait_until(
      [&] { return a.traffic->requests_in_flight() + b.traffic->requests_in_flight() == 0; }));
  EXPECT_EQ(a.counts.value(counter::caller_closed), 1U);
}

TEST_F(forwarding_limits, a_server_gets_no_more_time_than_is_left) {
  auto& server = this->add_server("s1");
  server.respond = [](const auto&) {};
  this->set_route(request_kind::unsafe, 2000);
  auto& a = this->add_node("a");
  this->add_node("b");
  this->start();
  this->set_links_lost(a);
  const auto response = exchange_with(a.caller_port, make_request("POST"));
  EXPECT_EQ(status_of(response), 504) << response;
  this->run_there([&] {
    ASSERT_EQ(server.requests.size(), 1U);
    const auto left = parse_number(find_field(server.requests.front()->head().fields, "Left").value_or(""));
    ASSERT_TRUE(left);
    EXPECT_LE(*left, 2000);
    EXPECT_GT(*left, 0);
  });
  EXPECT_TRUE(this->wait_until([&] { return server.disconnects == 1; }));
}

/// The request counts against its deadline while its body comes in.
TEST_F(forwarding_limits, time_in_which_a_peer_reads_the_body_counts) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::unsafe, 20'000);
  auto& b = this->add_node("b");
  this->start();
  std::string text = "POST /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 5000\r\n";
  append_fields(text, encode_hop_fields({node_id{"a"}, config_version{5}, service_id{"desk"}, 1, {}}));
  raw_tcp_client client{b.forward_port};
  client.send(text + "Expect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  ASSERT_NE(client.read_until("100 Continue", patience_ms).find("100 Continue"), std::string::npos);
  std::this_thread::sleep_for(std::chrono::milliseconds{400});
  client.send("abcd");
  EXPECT_NE(client.read_until("data").find("200"), std::string::npos);
  const auto left = this->run_there(
      [&] { return parse_number(find_field(server.requests.front()->head().fields, "Left").value_or("")); });
  ASSERT_TRUE(left);
  // The clock counts whole milliseconds.
  EXPECT_LE(*left, 4601);
}

/// The request is sent twice in all, to different servers, though each node could send it twice.
TEST_F(forwarding_limits, attempts_of_both_nodes_count_together) {
  std::vector<backend_server*> all;
  for (const auto* const id : {"s1", "s2", "s3"}) {
    all.push_back(&this->add_server(id));
  }
  this->set_route(request_kind::safe);
  auto& a = this->add_node("a");
  this->add_node("b");
  this->start();
  const auto total = [&] {
    std::size_t count = 0;
    for (const auto* const server : all) {
      count += server->requests.size();
    }
    return count;
  };
  this->run_there([&] {
    for (auto* const server : all) {
      server->respond = [&](const auto& exchange) {
        // The first attempt is in flight when the links are lost.
        if (total() > 1) {
          backend_server::answer(*exchange, 500, "");
        }
      };
    }
  });
  raw_tcp_client client{a.caller_port};
  client.send(make_request());
  ASSERT_TRUE(this->wait_until([&] { return total() == 1; }));
  this->set_links_lost(a);
  EXPECT_EQ(status_of(client.read_all(patience_ms)), 500);
  EXPECT_EQ(this->run_there(total), 2U);
  for (const auto* const server : all) {
    EXPECT_LE(this->request_count(*server), 1U);
  }
  EXPECT_EQ(a.counts.retries_for(reason::links_lost), 1U);
}

TEST_F(forwarding_limits, a_request_in_flight_that_may_run_once_waits_for_its_deadline) {
  auto& server = this->add_server("s1");
  auto& other = this->add_server("s2");
  for (auto* const held : {&server, &other}) {
    held->respond = [](const auto&) {};
  }
  this->set_route(request_kind::unsafe, 2000);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  raw_tcp_client client{a.caller_port};
  client.send(make_request("POST"));
  ASSERT_TRUE(this->wait_until([&] { return server.requests.size() + other.requests.size() == 1; }));
  this->set_links_lost(a);
  EXPECT_EQ(status_of(client.read_all(patience_ms)), 504);
  EXPECT_EQ(b.counts.value(counter::forwarded_received), 0U);
  EXPECT_EQ(this->request_count(server) + this->request_count(other), 1U);
}

TEST_F(forwarding_limits, a_waiting_request_is_handed_on_at_once) {
  this->slots = 1;
  auto& server = this->add_server("s1");
  server.respond = [](const auto&) {};
  this->set_route(request_kind::unsafe, 20'000);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  raw_tcp_client first{a.caller_port};
  first.send(make_request("POST", "", "", "r1"));
  ASSERT_TRUE(this->wait_until([&] { return server.requests.size() == 1; }));
  std::vector<std::unique_ptr<raw_tcp_client>> waiting;
  // Some are sent at once, as a server takes more than it has slots for.
  for (int i = 0; i < 30 && this->queued_at(a) == 0; ++i) {
    waiting.push_back(std::make_unique<raw_tcp_client>(a.caller_port));
    waiting.back()->send(make_request("POST", "", "", "w" + std::to_string(i)));
    ASSERT_TRUE(this->wait_until([&] { return a.traffic->requests_in_flight() == waiting.size() + 1; }));
  }
  ASSERT_GT(this->queued_at(a), 0);
  this->run_there(
      [&] { server.respond = [](const auto& exchange) { backend_server::answer(*exchange, 200, "data"); }; });
  this->set_links_lost(a);
  EXPECT_EQ(status_of(waiting.back()->read_until("data")), 200);
  EXPECT_EQ(b.counts.value(counter::forwarded_received), 1U);
}

/// A peer that loses its links too does not hand the request on; the node that sent it may.
TEST_F(forwarding_limits, a_forwarded_request_that_waits_is_not_forwarded_again) {
  this->slots = 1;
  auto& server = this->add_server("s1");
  server.respond = [](const auto&) {};
  this->set_route(request_kind::unsafe, 20'000);
  auto& b = this->add_node("b");
  auto& c = this->add_node("c");
  this->start();
  const forwarded_request forwarded{node_id{"a"}, config_version{5}, service_id{"desk"}, 2, {}};
  std::vector<std::unique_ptr<raw_tcp_client>> clients;
  for (std::size_t i = 0; i < 30 && this->queued_at(b) == 0; ++i) {
    clients.push_back(std::make_unique<raw_tcp_client>(b.forward_port));
    clients.back()->send(forwarded_request_text(forwarded, "r" + std::to_string(i)));
    ASSERT_TRUE(this->wait_until([&] { return b.traffic->requests_in_flight() == i + 1; }));
  }
  ASSERT_GT(this->queued_at(b), 0);
  this->set_links_lost(b);
  const auto response = clients.back()->read_until("\r\n\r\n", patience_ms);
  EXPECT_EQ(status_of(response), 503) << response;
  EXPECT_NE(response.find("Zinnia-Hop-Reason: links-lost"), std::string::npos) << response;
  EXPECT_NE(response.find("Zinnia-Hop-Verdict: did-not-run"), std::string::npos) << response;
  EXPECT_EQ(c.counts.value(counter::forwarded_received), 0U);
}

TEST_F(forwarding_limits, a_second_attempt_at_a_peer_takes_from_the_retry_budget) {
  this->budget = {0, 0, duration{10'000}};
  auto& server = this->add_server("s1");
  server.respond = [](const auto&) {};
  this->set_route(request_kind::safe, 2000);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  raw_tcp_client client{a.caller_port};
  client.send(make_request());
  ASSERT_TRUE(this->wait_until([&] { return server.requests.size() == 1; }));
  this->set_links_lost(a);
  EXPECT_EQ(status_of(client.read_all(patience_ms)), 502) << "at once, not at the deadline";
  EXPECT_EQ(b.counts.value(counter::forwarded_received), 0U);
}

/// Requests earn retries at the node that the callers sent them to. A peer has none from them.
TEST_F(forwarding_limits, a_forwarded_request_earns_no_retries_at_the_peer) {
  this->budget = {1, 0, duration{10'000}};
  this->slots = 100;
  std::vector<backend_server*> all{&this->add_server("s1"), &this->add_server("s2")};
  for (auto* const server : all) {
    server->respond = [](const auto& exchange) { backend_server::answer(*exchange, 500, ""); };
  }
  this->set_route(request_kind::safe);
  auto& a = this->add_node("a");
  this->add_node("b");
  this->start();
  this->set_links_lost(a);
  constexpr int requests = 20;
  for (int i = 0; i < requests; ++i) {
    EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request("GET", "", "", "r" + std::to_string(i)))),
              500);
  }
  EXPECT_EQ(this->request_count(*all[0]) + this->request_count(*all[1]), static_cast<std::size_t>(requests));
}

TEST_F(forwarding_limits, bodies_go_only_to_regions_that_may_handle_them) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::unsafe, 5000, {region_id{"r"}});
  auto& a = this->add_node("a", "d", "r");
  auto& far = this->add_node("far", "far", "other");
  this->start();
  this->set_links_lost(a);
  EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request("POST", "body"))), 503);
  EXPECT_EQ(far.counts.value(counter::forwarded_received), 0U);
  this->run_there([&] {
    this->set_route(request_kind::unsafe, 5000, {region_id{"r"}, region_id{"other"}});
    this->apply_to_all();
  });
  EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request("POST", "body"))), 200);
  EXPECT_EQ(this->request_count(server), 1U);
}

TEST_F(forwarding_limits, requests_at_a_peer_finish_there_when_the_links_return) {
  auto& server = this->add_server("s1");
  server.respond = [](const auto&) {};
  this->set_route(request_kind::unsafe);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  this->set_links_lost(a);
  raw_tcp_client client{a.caller_port};
  client.send(make_request("POST"));
  ASSERT_TRUE(this->wait_until([&] { return server.requests.size() == 1; }));
  this->set_links_lost(a, false);
  this->run_there([&] {
    server.respond = [](const auto& exchange) { backend_server::answer(*exchange, 200, "direct"); };
  });
  EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request("POST", "", "", "r2"))), 200);
  EXPECT_EQ(b.counts.value(counter::forwarded_received), 1U);
  this->run_there([&] { backend_server::answer(*server.requests.front(), 200, "data"); });
  EXPECT_EQ(status_of(client.read_all(patience_ms)), 200);
  EXPECT_EQ(this->request_count(server), 2U);
}

TEST_F(forwarding_limits, a_peer_with_an_older_configuration_does_not_serve) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::safe);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  this->run_there([&] {
    this->snapshot.version = config_version{6};
    this->apply_to(a);
  });
  this->set_links_lost(a);
  EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request())), 503);
  EXPECT_EQ(b.counts.value(counter::forwarded_refused), 1U);
  EXPECT_EQ(this->request_count(server), 0U);
}

/// Beyond its bound a peer refuses before it does any work, and the refusal is true.
TEST_F(forwarding_limits, a_peer_refuses_requests_beyond_its_bound) {
  this->slots = 1000;
  auto& server = this->add_server("s1");
  server.respond = [](const auto&) {};
  this->set_route(request_kind::safe, 20'000);
  auto& b = this->add_node("b");
  this->start();
  std::vector<std::unique_ptr<raw_tcp_client>> clients;
  const forwarded_request forwarded{node_id{"a"}, config_version{5}, service_id{"desk"}, 1, {}};
  for (std::size_t i = 0; i < max_forwarded_requests; ++i) {
    clients.push_back(std::make_unique<raw_tcp_client>(b.forward_port));
    clients.back()->send(forwarded_request_text(forwarded, "r" + std::to_string(i)));
  }
  ASSERT_TRUE(this->wait_until([&] { return server.requests.size() == max_forwarded_requests; }));
  raw_tcp_client beyond{b.forward_port};
  beyond.send(forwarded_request_text(forwarded, "beyond"));
  const auto response = beyond.read_until("\r\n\r\n");
  EXPECT_EQ(status_of(response), 503) << response;
  EXPECT_NE(response.find("Zinnia-Hop-Reason: peer-busy"), std::string::npos) << response;
  EXPECT_NE(response.find("Zinnia-Hop-Verdict: did-not-run"), std::string::npos) << response;
  EXPECT_EQ(b.counts.value(counter::forwarded_refused), 1U);
  this->run_there([&] { backend_server::answer(*server.requests.front(), 200, "data"); });
  ASSERT_TRUE(this->wait_until([&] { return b.traffic->requests_in_flight() < max_forwarded_requests; }));
  raw_tcp_client next{b.forward_port};
  next.send(forwarded_request_text(forwarded, "next"));
  EXPECT_TRUE(this->wait_until([&] { return server.requests.size() == max_forwarded_requests + 1; }));
}

TEST_F(forwarding_limits, a_node_uses_no_more_than_its_share_of_a_peers_connections) {
  auto& server = this->add_server("s1");
  server.respond = [](const auto&) {};
  this->set_route(request_kind::unsafe, 20'000);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  this->set_links_lost(a);
  this->run_there([&] { set_peers(a, {make_peer("b", b.forward_port)}, max_forwarding_connections / 2); });
  std::vector<std::unique_ptr<raw_tcp_client>> clients;
  for (std::size_t i = 0; i < 2; ++i) {
    clients.push_back(std::make_unique<raw_tcp_client>(a.caller_port));
    clients.back()->send(make_request("POST", "", "", "r" + std::to_string(i)));
    ASSERT_TRUE(this->wait_until([&] { return server.requests.size() == i + 1; }));
  }
  EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request("POST", "", "", "beyond"))), 503);
  EXPECT_EQ(a.counts.refusals_for(reason::peer_busy), 1U);
  EXPECT_EQ(b.counts.value(counter::forwarded_received), 2U);
}

/// A peer applies a server's own words as for requests of its callers.
TEST_F(forwarding_limits, a_peer_keeps_to_what_servers_say) {
  auto& server = this->add_server("s1");
  server.respond = [](const auto& exchange) {
    backend_server::answer(*exchange, 503, "", {{"Not-Run", "1"}, {"Retry-After", "30"}});
  };
  this->set_route(request_kind::unsafe);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  this->set_links_lost(a);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request("POST", "", "", "r" + std::to_string(i)))),
              503);
  }
  EXPECT_EQ(this->request_count(server), 1U);
  EXPECT_EQ(b.counts.refusals_for(reason::backend_busy), 3U);
}

TEST_F(forwarding_limits, a_request_that_the_peer_has_quarantined_is_refused) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::safe);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->start();
  this->set_links_lost(a);
  request_head head;
  head.method = "GET";
  head.target = "/x/1?q=2";
  head.fields = {{"Host", "h"}};
  this->run_there([&] {
    for (int level = 1; level <= crash_ledger::quarantine_level; ++level) {
      b.traffic->apply_crash_reports(
          {{fingerprint_of(head, {}, std::nullopt), static_cast<std::uint64_t>(level), level, level,
            duration{0}, duration{0}}});
    }
  });
  const auto response = exchange_with(a.caller_port, make_request());
  EXPECT_EQ(status_of(response), 503) << response;
  EXPECT_EQ(this->request_count(server), 0U);
  EXPECT_EQ(a.counts.refusals_for(reason::request_quarantined), 1U);
  EXPECT_EQ(b.counts.refusals_for(reason::request_quarantined), 1U);
  EXPECT_EQ(status_of(exchange_with(a.caller_port, make_request("GET", "other"))), 200);
}

}  // namespace
