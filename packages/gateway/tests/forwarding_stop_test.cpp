// Forwarded requests at a peer that stops.
#include "forwarding_fixture.hpp"
#include "hop_fields.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;

namespace {

using forwarding_stop = forwarding_fixture;

/// Builds that know no stop of a peer understand it too.
TEST_F(forwarding_stop, a_stopping_peer_tells_that_a_half_forwarded_request_has_not_run) {
  auto& b = this->add_node("b");
  b.forwarded->set_partial_request_handler({nullptr, [&b](const auto& exchange, reason why) {
                                              b.traffic->refuse_partial_forwarded(exchange, why);
                                            }});
  this->set_route(request_kind::unsafe, 20'000);
  this->start();
  std::string fields = "Expect: 100-continue\r\n";
  append_fields(fields, encode_hop_fields({node_id{"a"}, config_version{5}, service_id{"desk"}, 1, {}}));
  const auto request = make_request("POST", "abcd", fields);
  standins::raw_tcp_client client{b.forward_port};
  client.send(request.substr(0, request.size() - 2));
  // Answered once the head has been read.
  static_cast<void>(client.read_until("100 Continue", patience_ms));
  this->run_there([&] {
    b.forwarded->drain();
    b.forwarded->stop_reading();
    b.forwarded->refuse_partial_requests(reason::node_stopping);
  });
  const auto received = client.read_until("Connection: close", patience_ms);
  EXPECT_NE(received.find("503"), std::string::npos) << received;
  EXPECT_NE(received.find("did-not-run"), std::string::npos) << received;
  EXPECT_NE(received.find("peer-busy"), std::string::npos) << received;
}

TEST_F(forwarding_stop, a_request_that_a_stopping_peer_refuses_is_served_by_another_peer) {
  auto& server = this->add_server("s1");
  this->set_route(request_kind::unsafe, 20'000);
  auto& a = this->add_node("a");
  auto& b = this->add_node("b");
  this->add_node("c");
  this->start();
  this->set_links_lost(a);
  this->run_there([&] { b.traffic->begin_stop(this->clock.now() + duration{5000}); });
  constexpr int sent = 20;
  for (int i = 0; i < sent; ++i) {
    const auto response =
        exchange_with(a.caller_port, make_request("POST", "body", "", "r" + std::to_string(i)));
    EXPECT_EQ(status_of(response), 200) << response;
  }
  EXPECT_EQ(this->request_count(server), sent);
  EXPECT_GT(b.counts.refusals_for(reason::node_stopping), 0U);
}

}  // namespace
