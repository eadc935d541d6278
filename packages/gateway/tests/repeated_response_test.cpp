// Backend servers that send an earlier response once more, or stop in the middle of a response's head.
#include "gateway_fixture.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;

namespace {

class repeated_response : public gateway_contract {
 protected:
  [[nodiscard]] std::string send_as(const std::string& method, const std::string& id_field) const {
    raw_tcp_client client{this->port};
    client.send(method + " /x/1 HTTP/1.1\r\nHost: h\r\n" + id_field +
                "Left: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    return client.read_all();
  }
  /// Starts the gateway, or replaces its snapshot.
  void apply_snapshot() {
    if (!this->thread.joinable()) {
      this->start();
      return;
    }
    std::promise<void> applied;
    boost::asio::post(this->context, [&] {
      ++this->snapshot.sequence;
      this->traffic->apply(std::make_shared<const routing_snapshot>(this->snapshot));
      applied.set_value();
    });
    applied.get_future().wait();
  }
  [[nodiscard]] static std::string id(const std::string& value) { return "Request-Id: " + value + "\r\n"; }
  [[nodiscard]] static std::string refusal(const std::string& id_field) {
    return "HTTP/1.1 503 X\r\n" + id_field + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  }
  [[nodiscard]] static std::string success(const std::string& id_field) {
    return "HTTP/1.1 200 X\r\n" + id_field + "Stamp: s\r\nContent-Length: 4\r\n\r\ndata";
  }
};

TEST_F(repeated_response, a_refusal_without_an_id_is_not_taken_for_the_one_of_a_request_that_runs) {
  const scripted_tcp_server server{[](int number) {
    return scripted_response{refusal(number == 0 ? id("a") : ""), true};
  }};
  this->route_with(request_kind::unsafe);
  this->add("s1", server.port());
  this->start();
  EXPECT_TRUE(this->send_as("POST", id("a")).starts_with("HTTP/1.1 503"));
  EXPECT_TRUE(this->send_as("POST", id("b")).starts_with("HTTP/1.1 502"));
}

TEST_F(repeated_response, a_refusal_without_an_id_that_comes_again_releases_no_request_that_runs) {
  for (const auto& first_id : {id("a"), std::string{}}) {
    const scripted_tcp_server* running = nullptr;
    const scripted_tcp_server server{[&](int number) {
      if (number == 0) {
        return scripted_response{refusal(""), true};
      }
      const bool is_same_connection = running->connections() == 1;
      return scripted_response{(is_same_connection ? refusal("") : "") + success(id("b")), true};
    }};
    running = &server;
    this->route_with(request_kind::unsafe);
    this->snapshot.backends.clear();
    this->add("s" + std::to_string(first_id.size()), server.port());
    this->apply_snapshot();
    EXPECT_TRUE(this->send_as("POST", first_id).starts_with("HTTP/1.1 503"));
    EXPECT_TRUE(this->send_as("POST", id("b")).starts_with("HTTP/1.1 200"));
    EXPECT_EQ(server.connections(), 2);
  }
}

TEST_F(repeated_response, an_id_is_not_sent_twice_on_one_connection_so_that_its_responses_can_be_told_apart) {
  const scripted_tcp_server server{[](int number) {
    return scripted_response{number == 0 ? refusal(id("a")) : success(id(number == 1 ? "b" : "a")), true};
  }};
  this->route_with(request_kind::unsafe);
  this->add("s1", server.port());
  this->start();
  EXPECT_TRUE(this->send_as("POST", id("a")).starts_with("HTTP/1.1 503"));
  EXPECT_TRUE(this->send_as("POST", id("b")).starts_with("HTTP/1.1 200"));
  EXPECT_EQ(server.connections(), 1);
  EXPECT_TRUE(this->send_as("POST", id("a")).starts_with("HTTP/1.1 200"));
  EXPECT_EQ(server.connections(), 2);
}

TEST_F(repeated_response, a_refusal_is_not_taken_for_the_one_of_a_request_without_an_id) {
  const scripted_tcp_server server{[](int number) {
    return scripted_response{number == 0 ? refusal(id("a")) : refusal(id("a")) + success(""), true};
  }};
  this->route_with(request_kind::unsafe);
  this->add("s1", server.port());
  this->start();
  EXPECT_TRUE(this->send_as("POST", id("a")).starts_with("HTTP/1.1 503"));
  EXPECT_FALSE(this->send_as("POST", "").starts_with("HTTP/1.1 503"));
}

TEST_F(repeated_response, a_head_that_breaks_off_gives_no_success) {
  const std::vector<std::string> heads{"HTTP/1.1 200 X\r\n", "HTTP/1.1 200 X\r\nStamp: s\r\n",
                                       "HTTP/1.1 200 X\r\nStamp: s\r\nContent-Length: 0\r\n"};
  std::vector<std::unique_ptr<scripted_tcp_server>> servers;
  for (const auto& head : heads) {
    servers.push_back(std::make_unique<scripted_tcp_server>([head](int) { return scripted_response{head}; }));
    this->add("s" + std::to_string(servers.size()), servers.back()->port());
  }
  this->route_with(request_kind::safe);
  this->start();
  for (const auto* const method : {"GET", "HEAD", "POST"}) {
    const auto response = this->send_as(method, id(method));
    EXPECT_TRUE(response.starts_with("HTTP/1.1 50")) << method << ": " << response;
  }
}

TEST_F(repeated_response, servers_that_name_no_requests_are_believed_on_kept_connections) {
  const scripted_tcp_server server{[](int number) {
    return scripted_response{number == 1 ? refusal("") : success(""), true};
  }};
  this->route_with(request_kind::unsafe);
  this->add("s1", server.port());
  this->start();
  EXPECT_TRUE(this->send_as("POST", id("a")).starts_with("HTTP/1.1 200"));
  EXPECT_TRUE(this->send_as("POST", id("b")).starts_with("HTTP/1.1 503"));
  EXPECT_TRUE(this->send_as("POST", id("c")).starts_with("HTTP/1.1 200"));
}

}  // namespace
