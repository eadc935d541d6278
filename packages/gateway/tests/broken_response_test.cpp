// Responses that break off or are no HTTP, from backend servers, from health checks and from peers: callers
// get none of them.
#include <algorithm>
#include <memory>

#include "forwarding_fixture.hpp"
#include "gateway_fixture.hpp"
#include "hop_fields.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;
using standins::response_time;

namespace {

constexpr int runs_per_case = 12;
/// More than the buffers of both sockets take.
constexpr std::size_t upload_bytes = 4 << 20;

const std::string sound_fields = "Request-Id: r1\r\nStamp: s\r\n";
const std::string sound_response = "HTTP/1.1 200 X\r\n" + sound_fields + "Content-Length: 4\r\n\r\ngood";

/// Complete messages, but for what makes each of them none.
[[nodiscard]] std::vector<std::string> broken_responses(const std::string& fields) {
  const std::vector<std::string> framings{"\r\ndata", "Content-Length: 4\r\n\r\ndata",
                                          "Transfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n",
                                          "Content-Length: 4\r\n\r\ndata" + sound_response};
  std::vector<std::string> responses;
  for (const auto& framing : framings) {
    for (const std::string status : {"000", "099", "600", "999"}) {
      responses.push_back("HTTP/1.1 " + status + " X\r\n" + fields + framing);
    }
    for (const std::string& line :
         {std::string{"Bad Name: 1"}, std::string{"Bad\tName: 1"}, std::string{"Bad\x01Name: 1"},
          std::string{"Bad\0Name: 1", 11}, std::string{"Bad\x7FName: 1"}, std::string{"Name : 1"},
          std::string{"Content-Length : 4"}, std::string{": 1"}}) {
      responses.push_back("HTTP/1.1 200 X\r\n" + line + "\r\n" + fields + framing);
    }
  }
  return responses;
}

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

TEST_F(broken_response, a_message_that_is_no_response_is_not_forwarded) {
  this->start_with_server(response_time::after_body);
  for (const auto& each : broken_responses(sound_fields)) {
    this->response = {each, true};
    const auto received = this->send_request("POST");
    EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << testing::PrintToString(each) << ": " << received;
    EXPECT_EQ(received.find("data"), std::string::npos) << testing::PrintToString(each);
    EXPECT_EQ(received.find("good"), std::string::npos) << testing::PrintToString(each);
    this->expect_sound_response();
  }
}

TEST_F(broken_response, another_server_responds_to_a_request_that_may_be_repeated) {
  const scripted_tcp_server broken{
      [](int) { return scripted_response{"HTTP/1.1 000 X\r\n" + sound_fields + "\r\ndata"}; }, good_response};
  const scripted_tcp_server sound{[](int) { return good_response; }, good_response};
  this->route_with(request_kind::safe);
  this->add("s1", broken.port());
  this->add("s2", sound.port());
  this->start();
  for (int i = 0; i < 4; ++i) {
    EXPECT_TRUE(this->send_request().starts_with("HTTP/1.1 200"));
  }
}

TEST_F(broken_response, an_unsafe_request_is_not_repeated_because_of_it) {
  std::string bytes;
  const auto script = [&](int) { return scripted_response{bytes}; };
  const scripted_tcp_server one{script, good_response};
  const scripted_tcp_server other{script, good_response};
  this->route_with(request_kind::unsafe);
  this->add("s1", one.port());
  this->add("s2", other.port());
  this->start();
  int sent = 0;
  for (const auto& each : broken_responses(sound_fields)) {
    bytes = each;
    EXPECT_TRUE(this->send_request("POST").starts_with("HTTP/1.1 502")) << testing::PrintToString(each);
    EXPECT_EQ(one.requests() + other.requests(), ++sent) << testing::PrintToString(each);
    // Keeps the servers from being suspended for their failures.
    bytes = sound_response;
    for (int i = 0; i < 2; ++i) {
      EXPECT_TRUE(this->send_request("POST").ends_with("\r\n\r\ngood"));
      ++sent;
    }
  }
}

TEST_F(broken_response, a_health_check_does_not_succeed_by_it) {
  // Answers from another instance suspend a server until a check succeeds.
  const auto serve = [](const scripted_response& health) {
    return std::make_unique<scripted_tcp_server>([](int) { return make_response(421, ""); }, health);
  };
  std::vector<std::unique_ptr<scripted_tcp_server>> servers;
  this->route_with(request_kind::safe);
  this->snapshot.services[service_id{"desk"}].max_connections = 1000;
  for (std::size_t i = 0; i < broken_responses("").size(); ++i) {
    const std::string id = "b" + std::to_string(i);
    servers.push_back(serve({broken_responses("Instance-Id: " + id + "\r\n")[i]}));
    this->add(id, servers.back()->port());
  }
  servers.push_back(serve(reset_response("Instance-Id: reset\r\nContent-Length: 9\r\n", 4)));
  this->add("reset", servers.back()->port());
  const auto sound = serve({"HTTP/1.1 200 X\r\nInstance-Id: sound\r\n\r\n"});
  this->add("sound", sound->port());
  this->start();
  const auto all_checked = [&] {
    // One connection for the request, and two checks.
    return std::all_of(servers.begin(), servers.end(),
                       [](const auto& server) { return server->connections() >= 3; });
  };
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds{20};
  while (!(all_checked() && sound->requests() >= 2) && std::chrono::steady_clock::now() < limit) {
    static_cast<void>(this->send_request());
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  EXPECT_TRUE(all_checked());
  EXPECT_GE(sound->requests(), 2);
  for (std::size_t i = 0; i < servers.size(); ++i) {
    EXPECT_EQ(servers[i]->requests(), 1) << i;
  }
}

class broken_response_of_a_peer : public forwarding_fixture {};

TEST_F(broken_response_of_a_peer, is_not_forwarded) {
  this->set_route(request_kind::unsafe);
  auto& a = this->add_node("a");
  this->start();
  this->set_links_lost(a);
  std::string fields = sound_fields;
  append_fields(fields, encode_hop_fields(hop_result{verdict::ran, reason::none, 1}));
  int number = 0;
  for (const auto& each : broken_responses(fields)) {
    const scripted_tcp_server peer{[&](int) { return scripted_response{each, true}; }};
    this->run_there([&] { set_peers(a, {make_peer("p" + std::to_string(++number), peer.port())}); });
    const auto received = exchange_with(a.caller_port, make_request("POST"));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << testing::PrintToString(each) << ": " << received;
    EXPECT_EQ(received.find("data"), std::string::npos) << testing::PrintToString(each);
    EXPECT_EQ(received.find("good"), std::string::npos) << testing::PrintToString(each);
  }
  const scripted_tcp_server resetting{[&](int) { return reset_response(fields, 20'000); }, std::nullopt,
                                      response_time::after_head};
  this->run_there([&] { set_peers(a, {make_peer("resetting", resetting.port())}); });
  for (int run = 0; run < runs_per_case; ++run) {
    const auto received = exchange_with(a.caller_port, upload_request());
    EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << received.substr(0, 200);
  }
}

TEST_F(broken_response_of_a_peer, from_a_server_is_not_forwarded_by_two_nodes) {
  scripted_response response;
  const scripted_tcp_server server{[&](int) { return response; }, good_response, response_time::after_head};
  backend_declaration declared;
  declared.id = backend_id{"s1"};
  declared.service = service_id{"desk"};
  declared.address = {"127.0.0.1", server.port()};
  declared.domain = failure_domain_id{"d"};
  declared.slots = this->slots;
  this->snapshot.backends[declared.id] = declared;
  this->set_route(request_kind::unsafe);
  auto& a = this->add_node("a");
  this->add_node("b");
  this->start();
  this->set_links_lost(a);
  // Keeps the server from being suspended for its failures.
  const auto expect_sound_response = [&] {
    response = {sound_response};
    EXPECT_TRUE(exchange_with(a.caller_port, make_request("POST")).ends_with("\r\n\r\ngood"));
  };
  for (const auto& each : broken_responses(sound_fields)) {
    response = {each};
    const auto received = exchange_with(a.caller_port, make_request("POST"));
    EXPECT_TRUE(received.starts_with("HTTP/1.1 502")) << testing::PrintToString(each) << ": " << received;
    expect_sound_response();
  }
  for (const std::size_t body_bytes : {20'000U, 200'000U}) {
    for (int run = 0; run < runs_per_case; ++run) {
      response = reset_response(sound_fields, body_bytes);
      response.close_delay_ms = 50;
      const auto received = exchange_with(a.caller_port, upload_request());
      EXPECT_EQ(received.find("\r\n0\r\n\r\n"), std::string::npos) << body_bytes;
      EXPECT_EQ(received.find("Content-Length: 20"), std::string::npos) << body_bytes;
      expect_sound_response();
    }
  }
}

}  // namespace
