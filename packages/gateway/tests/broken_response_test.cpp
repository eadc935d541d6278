// Responses that break off or are no HTTP, from backend servers, from health checks and from peers: callers
// get none of them.
#include <memory>

#include "gateway_fixture.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;
using standins::response_time;

namespace {

constexpr int runs_per_case = 12;
/// More than the buffers of both sockets take.
constexpr std::size_t upload_bytes = 4 << 20;

const std::string sound_fields = "Request-Id: r1\r\nStamp: s\r\n";
const std::string sound_response = "HTTP/1.1 200 X\r\n" + sound_fields + "Content-Length: 4\r\n\r\ngood";

[[nodiscard]] std::string upload_request() {
  return "POST /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 3000\r\nConnection: "
         "close\r\nContent-Length: " +
         std::to_string(upload_bytes) + "\r\n\r\n" + std::string(upload_bytes, 'u');
}

/// A success without a length that is reset while the request's body is still being sent.
[[nodiscard]] scripted_response reset_response(const std::string& fields, std::size_t body_bytes) {
  scripted_response response{"HTTP/1.1 200 X\r\n" + fields + "\r\n" + std::string(body_bytes, 'd')};
  response.reset = true;
  return response;
}

class broken_response : public gateway_contract {
 protected:
  [[nodiscard]] std::string send_upload() const {
    raw_tcp_client client{this->port};
    client.send(upload_request());
    return client.read_all();
  }
  /// Starts the gateway before one server, which sends `response`.
  void start_with_server(response_time when) {
    this->server =
        std::make_unique<scripted_tcp_server>([this](int) { return this->response; }, good_response, when);
    this->route_with(request_kind::unsafe, 3000);
    this->add("s1", this->server->port());
    this->start();
  }
  /// Nothing of an earlier response is taken for this one, and the server is not suspended for its failures.
  void expect_sound_response() {
    this->response = {sound_response};
    const auto received = this->send_request("POST");
    EXPECT_TRUE(received.ends_with("\r\n\r\ngood")) << received;
  }

  scripted_response response;
  std::unique_ptr<scripted_tcp_server> server;
};

TEST_F(broken_response, a_response_that_is_reset_during_an_upload_is_not_forwarded) {
  this->start_with_server(response_time::after_head);
  for (const int reset_after_ms : {0, 5, 50}) {
    for (int run = 0; run < runs_per_case; ++run) {
      this->response = reset_response(sound_fields, 20'000);
      this->response.close_delay_ms = reset_after_ms;
      const auto received = this->send_upload();
      EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << reset_after_ms << ": " << received.substr(0, 200);
      this->expect_sound_response();
    }
  }
}

TEST_F(broken_response, a_long_response_that_is_reset_during_an_upload_does_not_look_complete) {
  this->start_with_server(response_time::after_head);
  for (int run = 0; run < runs_per_case; ++run) {
    this->response = reset_response(sound_fields, 200'000);
    this->response.close_delay_ms = 50;
    EXPECT_EQ(this->send_upload().find("\r\n0\r\n\r\n"), std::string::npos);
    this->expect_sound_response();
  }
}

}  // namespace
