// Requests that callers send behind a download on the same connection.
#include <future>

#include "gateway_fixture.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;

namespace {

constexpr const char* two_requests =
    "GET /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 5000\r\n\r\n"
    "GET /x/2 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 5000\r\n\r\n";

class pipelined_download : public gateway_contract {
 protected:
  /// Starts a server whose first response has this many bytes of a body of `size`.
  void serve(std::size_t size, std::size_t sent) {
    const auto script = [=](int request) {
      auto response = make_response(200, "Stamp: s\r\n", std::string(size, 'x'));
      response.reply.resize(response.reply.size() - (size - sent));
      response.keep_open = sent == size;
      response.delay_ms = 100;
      return request == 0 ? response : good_response;
    };
    this->server.emplace(script, good_response);
    this->route_with(request_kind::download, 5000);
    this->add("a", this->server->port());
    this->start();
  }

  std::optional<scripted_tcp_server> server;
};

TEST_F(pipelined_download, that_breaks_off_cuts_off_no_request_at_a_server) {
  constexpr std::size_t size = 200'000;
  this->serve(size, size / 2);
  raw_tcp_client client{this->port};
  client.send(two_requests);
  EXPECT_LT(client.read_all().size(), size);
  EXPECT_TRUE(client.is_closed());
  EXPECT_EQ(this->server->requests(), 1);
}

TEST_F(pipelined_download, that_ends_lets_the_next_request_go) {
  constexpr std::size_t size = 200'000;
  this->serve(size, size);
  raw_tcp_client client{this->port};
  client.send(two_requests);
  EXPECT_TRUE(client.read_until("data").ends_with("data"));
  EXPECT_EQ(this->server->requests(), 2);
}

}  // namespace
