// Requests at a node that stops: each is answered before the process ends.
#include <future>
#include <vector>

#include "gateway_fixture.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;

namespace {

class stopping_node : public gateway_contract {
 protected:
  void begin_stop(duration answer_within) {
    std::promise<void> done;
    boost::asio::post(this->context, [&] {
      this->traffic->begin_stop(this->clock.now() + answer_within);
      done.set_value();
    });
    done.get_future().wait();
  }
  [[nodiscard]] std::future<std::string> send_in_background(const std::string& method) {
    return std::async(std::launch::async,
                      [this, method] { return this->send_request(method, request_time_ms); });
  }
  void refuse_partial_requests() {
    this->listener->set_partial_request_handler(
        {[this](const request_head& head, time_point started) {
           return this->traffic->refusal_by_head(head, started);
         },
         [this](const auto& exchange, reason why) { this->traffic->refuse_partial(exchange, why); }});
  }
  [[nodiscard]] std::size_t requests_in_flight() {
    std::promise<std::size_t> told;
    boost::asio::post(this->context, [&] { told.set_value(this->traffic->requests_in_flight()); });
    return told.get_future().get();
  }

  static constexpr int request_time_ms = 20'000;
};

TEST_F(stopping_node, does_not_cut_off_requests_that_wait_in_it) {
  std::promise<void> release;
  const auto released = release.get_future().share();
  const scripted_tcp_server server{[released](int) {
    released.wait();
    return good_response;
  }};
  this->route_with(request_kind::safe, request_time_ms);
  this->add("a", server.port());
  this->start();
  constexpr int sent = 8;
  std::vector<std::future<std::string>> responses;
  for (int i = 0; i < sent; ++i) {
    responses.push_back(this->send_in_background("GET"));
  }
  while (this->requests_in_flight() < sent) {
  }
  this->begin_stop(duration{300});
  int not_run = 0;
  for (auto& response : responses) {
    const auto received = response.get();
    not_run += received.starts_with("HTTP/1.1 503") ? 1 : 0;
    EXPECT_TRUE(received.starts_with("HTTP/1.1 503") || received.starts_with("HTTP/1.1 504")) << received;
  }
  EXPECT_EQ(not_run, sent - server.requests());
  EXPECT_GT(not_run, 0);
  release.set_value();
}

TEST_F(stopping_node, sends_no_request_that_may_run_only_once_and_may_last_longer_than_the_node) {
  const scripted_tcp_server server{[](int) { return good_response; }};
  this->route_with(request_kind::unsafe, request_time_ms);
  this->add("a", server.port());
  this->start();
  this->begin_stop(duration{10'000});
  const auto refused = this->send_request("POST", request_time_ms);
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 503")) << refused;
  EXPECT_NE(refused.find("Retry-After: 0.000"), std::string::npos) << refused;
  EXPECT_EQ(server.requests(), 0);
  EXPECT_EQ(this->counts.refusals_for(reason::node_stopping), 1U);
  EXPECT_TRUE(this->send_request("POST", 5'000).starts_with("HTTP/1.1 200"));
}

TEST_F(stopping_node, answers_requests_at_a_server_before_it_ends) {
  std::promise<void> release;
  const auto released = release.get_future().share();
  const scripted_tcp_server server{[released](int) {
    released.wait();
    return good_response;
  }};
  this->route_with(request_kind::unsafe, request_time_ms);
  this->add("a", server.port());
  this->start();
  auto response = this->send_in_background("POST");
  while (server.requests() == 0) {
  }
  this->begin_stop(duration{100});
  EXPECT_TRUE(response.get().starts_with("HTTP/1.1 504"));
  release.set_value();
}

TEST_F(stopping_node, refuses_a_half_sent_request_that_may_run_only_once_at_once) {
  this->route_with(request_kind::unsafe, request_time_ms);
  this->refuse_partial_requests();
  this->start();
  this->begin_stop(duration{10'000});
  raw_tcp_client client{this->port};
  client.send(
      "POST /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 20000\r\nContent-Length: 4\r\n\r\nda");
  const auto refused = client.read_all();
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 503")) << refused;
  EXPECT_NE(refused.find("Retry-After: 0.000"), std::string::npos) << refused;
  EXPECT_NE(refused.find("Request-Id: r1"), std::string::npos) << refused;
  EXPECT_EQ(this->counts.refusals_for(reason::node_stopping), 1U);
}

TEST_F(stopping_node, refuses_a_half_sent_request_at_its_deadline_also_without_a_stop) {
  this->route_with(request_kind::unsafe, request_time_ms);
  this->refuse_partial_requests();
  this->start();
  raw_tcp_client client{this->port};
  client.send("POST /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 100\r\nContent-Length: 4\r\n\r\nda");
  const auto refused = client.read_until("\r\n\r\n");
  EXPECT_TRUE(refused.starts_with("HTTP/1.1 503")) << refused;
  EXPECT_NE(refused.find("Retry-After: 0.000"), std::string::npos) << refused;
  EXPECT_NE(refused.find("Request-Id: r1"), std::string::npos) << refused;
  EXPECT_EQ(this->counts.refusals_for(reason::deadline_passed), 1U);
}

TEST_F(stopping_node, serves_half_sent_requests_that_fit) {
  const scripted_tcp_server server{[](int) { return good_response; }};
  this->route_with(request_kind::unsafe, request_time_ms);
  this->add("a", server.port());
  this->refuse_partial_requests();
  this->start();
  this->begin_stop(duration{10'000});
  raw_tcp_client client{this->port};
  client.send("POST /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 5000\r\nContent-Length: 4\r\n\r\nda");
  EXPECT_EQ(client.read_some(50), "");
  client.send("ta");
  EXPECT_TRUE(client.read_until("data").starts_with("HTTP/1.1 200"));
}

TEST_F(stopping_node, serves_repeatable_requests_that_fit) {
  const scripted_tcp_server server{[](int) { return good_response; }};
  this->route_with(request_kind::safe, request_time_ms);
  this->add("a", server.port());
  this->start();
  this->begin_stop(duration{10'000});
  EXPECT_TRUE(this->send_request("GET", request_time_ms).starts_with("HTTP/1.1 200"));
}

}  // namespace
