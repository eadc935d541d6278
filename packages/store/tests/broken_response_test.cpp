// Bytes that are no response, or none that ends: both HTTP clients report that there was no response, and
// keep little of it.
#include <gtest/gtest.h>

#include <atomic>
#include <optional>
#include <string>
#include <vector>

#include "standins/scripted_tcp_server.hpp"
#include "zinnia/store/async_http_client.hpp"

using namespace zinnia;
using standins::response_time;
using standins::scripted_response;
using standins::scripted_tcp_server;

namespace {

enum class client_kind : unsigned char { blocking, async };

class broken_response : public testing::TestWithParam<client_kind> {
 protected:
  [[nodiscard]] http_response perform_call(const scripted_tcp_server& server,
                                           const std::string& method = "GET", const std::string& body = "") {
    http_call call;
    call.method = method;
    call.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/x";
    call.body = body;
    call.timeout = duration{10'000};
    if (GetParam() == client_kind::blocking) {
      return perform(call);
    }
    std::optional<http_response> received;
    this->client.start(call, [&](const http_response& response) { received = response; });
    for (int i = 0; i < 500 && !received; ++i) {
      this->client.wait(duration{50}, -1);
    }
    EXPECT_TRUE(received);
    return received.value_or(http_response{});
  }
  [[nodiscard]] http_response read(const std::string& bytes) {
    this->reply = bytes;
    return this->perform_call(this->server);
  }
  static void expect_none(const http_response& response, const std::string& name) {
    EXPECT_EQ(response.status, 0) << testing::PrintToString(name);
    EXPECT_NE(response.failure_reason, "") << testing::PrintToString(name);
    EXPECT_FALSE(response.never_connected) << testing::PrintToString(name);
  }

  std::string reply;
  scripted_tcp_server server{[this](int) { return scripted_response{this->reply}; }};
  async_http_client client;
};

const std::vector<std::string> framings{"\r\n{}", "Content-Length: 2\r\n\r\n{}",
                                        "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"};

TEST_P(broken_response, a_status_outside_100_to_599_is_no_response) {
  for (const std::string status : {"000", "001", "099", "600", "999", "20", "2000"}) {
    for (const auto& framing : framings) {
      const auto bytes = "HTTP/1.1 " + status + " X\r\nStore-Era: 1\r\n" + framing;
      expect_none(this->read(bytes), bytes);
    }
  }
}

TEST_P(broken_response, a_field_whose_name_is_no_token_makes_the_head_none) {
  std::vector<std::string> lines{"Bad Name: 1",
                                 "Bad\tName: 1",
                                 "Name : 1",
                                 ": 1",
                                 "Name",
                                 "Content-Length : 2",
                                 "Transfer-Encoding\t: chunked",
                                 "(Name): 1"};
  for (int byte = 1; byte < 256; ++byte) {
    if ((byte < ' ' && byte != '\n') || byte >= 127) {
      lines.push_back("Na" + std::string(1, static_cast<char>(byte)) + "me: 1");
    }
  }
  for (const auto& line : lines) {
    for (const auto& framing : framings) {
      const auto bytes = "HTTP/1.1 200 OK: fine\r\nStore-Era: 1\r\n" + line + "\r\n" + framing;
      expect_none(this->read(bytes), bytes);
    }
  }
}

TEST_P(broken_response, a_head_that_breaks_off_at_any_byte_is_no_response) {
  const std::string head = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n";
  for (const std::string& interim : {std::string{}, std::string{"HTTP/1.1 103 X\r\nName: 1\r\n\r\n"}}) {
    for (std::size_t length = 0; length + 1 < head.size(); ++length) {
      expect_none(this->read(interim + head.substr(0, length)), interim + head.substr(0, length));
    }
  }
}

TEST_P(broken_response, a_response_that_breaks_off_is_none) {
  for (const std::string framing :
       {"Content-Length: 9\r\n\r\n{}", "Transfer-Encoding: chunked\r\n\r\n9\r\n{}"}) {
    const auto bytes = "HTTP/1.1 200 OK\r\nStore-Era: 1\r\n" + framing;
    expect_none(this->read(bytes), bytes);
  }
  scripted_response reset{"HTTP/1.1 200 OK\r\n\r\n{}"};
  reset.reset = true;
  reset.close_delay_ms = 20;
  const scripted_tcp_server server{[&](int) { return reset; }, std::nullopt, response_time::after_head};
  expect_none(this->perform_call(server), "reset");
  constexpr std::size_t upload_bytes = 16 << 20;
  for (int run = 0; run < 12; ++run) {
    expect_none(this->perform_call(server, "PUT", std::string(upload_bytes, 'u')), "reset during an upload");
  }
}

TEST_P(broken_response, bytes_without_end_are_hardly_read) {
  struct endless_case {
    const char* name;
    std::string begin;
    std::string repeated;
    bool is_body{true};
  };
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  // What is read before a bound applies, and what the sockets hold.
  constexpr std::size_t max_sent_bytes = 16 << 20;
  for (const auto& each : std::vector<endless_case>{
           {"body without a length", ok + "\r\n", "data"},
           {"body with a length", ok + "Content-Length: 1000000000\r\n\r\n", "data"},
           {"chunks", ok + "Transfer-Encoding: chunked\r\n\r\n", "4\r\ndata\r\n"},
           {"one chunk", ok + "Transfer-Encoding: chunked\r\n\r\n3fffffff\r\n", "data"},
           {"body of a failure", "HTTP/1.1 503 X\r\n\r\n", "data"},
           {"fields", ok, "Name: value\r\n", false},
           {"field", ok + "Name: ", "value", false},
           {"interim responses", "", "HTTP/1.1 103 X\r\nName: value\r\n\r\n", false},
           {"trailers", ok + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Name: value\r\n", false},
           {"no HTTP", "", "data", false}}) {
    const scripted_tcp_server server{
        [&](int) { return scripted_response{each.begin, false, 0, false, false, each.repeated}; }};
    const auto response = this->perform_call(server);
    expect_none(response, each.name);
    EXPECT_EQ(response.body.capacity(), std::string{}.capacity()) << each.name;
    EXPECT_EQ(response.too_long, each.is_body) << each.name;
    EXPECT_LE(server.sent_bytes(), max_sent_bytes) << each.name;
  }
}

TEST_P(broken_response, a_page_of_the_largest_size_is_read) {
  // A list has pages of about 1 MB.
  const std::string body(2 << 20, 'd');
  for (const auto& framing :
       {"\r\n" + body, "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body}) {
    const auto response = this->read("HTTP/1.1 200 OK\r\nStore-Era:  1 \r\nTwo: a\r\n\tb\r\n" + framing);
    EXPECT_EQ(response.status, 200) << response.failure_reason;
    EXPECT_EQ(response.body, body);
    EXPECT_EQ(response.headers.at("store-era"), "1");
    EXPECT_EQ(response.failure_reason, "");
  }
}

TEST(async_http_client, calls_share_the_memory_for_bodies) {
  const std::string part(3 << 20, 'd');
  std::atomic<bool> ends{false};
  const scripted_tcp_server server{[&](int) {
    const std::string length = ends ? std::to_string(part.size()) : "4000000";
    return scripted_response{"HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + part, true};
  }};
  async_http_client client;
  http_call call;
  call.url = "http://127.0.0.1:" + std::to_string(server.port()) + "/x";
  call.timeout = duration{20'000};
  std::vector<http_response> received;
  const auto record = [&](const http_response& response) { received.push_back(response); };
  const auto wait_for = [&](std::size_t count) {
    for (int i = 0; i < 200 && received.size() < count; ++i) {
      client.wait(duration{50}, -1);
    }
    ASSERT_EQ(received.size(), count);
  };
  std::vector<async_http_client::call_id> calls;
  for (int i = 0; i < 3; ++i) {
    calls.push_back(client.start(call, record));
  }
  wait_for(1);
  EXPECT_EQ(received.back().status, 0);
  EXPECT_NE(received.back().failure_reason.find("8388608"), std::string::npos)
      << received.back().failure_reason;
  EXPECT_FALSE(received.back().too_long) << "it might have been had alone";
  for (const auto id : calls) {
    client.cancel(id);
  }
  ends = true;
  for (std::size_t i = 2; i < 6; ++i) {
    client.start(call, record);
    wait_for(i);
    EXPECT_EQ(received.back().status, 200) << received.back().failure_reason;
    EXPECT_EQ(received.back().body.size(), part.size());
  }
}

INSTANTIATE_TEST_SUITE_P(clients, broken_response,
                         testing::Values(client_kind::blocking, client_kind::async));

}  // namespace
