// Responses that break off or are no HTTP: none of them is a complete response to its request.
#include "backend_connection_fixture.hpp"
#include "standins/scripted_tcp_server.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;
using standins::response_time;
using standins::scripted_response;
using standins::scripted_tcp_server;

namespace {

/// More than the buffers of both sockets take, so that a part is still being written when the response comes.
constexpr std::size_t upload_bytes = 16 << 20;
constexpr std::size_t early_body_bytes = 20'000;
/// Which handler finds a reset first, that of the read or that of the write, varies from run to run.
constexpr int runs_per_case = 12;

class broken_response : public backend_connection_test {
 protected:
  /// Sends a long upload to a server that responds as soon as it has the head.
  /// \param is_kept True to use a connection that has carried a request.
  std::unique_ptr<recording_handler> upload(const scripted_response& response, bool is_kept = false) {
    const scripted_response first{"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 0\r\n\r\n", true};
    const scripted_tcp_server server{[&](int number) { return is_kept && number == 0 ? first : response; },
                                     std::nullopt, response_time::after_head};
    auto request = make_call();
    body_buffer body;
    static_cast<void>(body.try_append(std::string(upload_bytes, 'u')));
    request.bytes =
        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(upload_bytes) + "\r\n\r\n";
    request.body = std::make_shared<const body_buffer>(std::move(body));
    const auto connection = this->connect(server.port());
    if (is_kept) {
      EXPECT_TRUE(this->run_call(*connection, "r0")->end->complete);
      EXPECT_TRUE(connection->is_reusable(this->clock.now()));
    }
    auto handler = this->run_call(*connection, std::move(request));
    EXPECT_FALSE(connection->is_reusable(this->clock.now()));
    connection->cancel();
    return handler;
  }
  /// Sends a request to a server whose response is `bytes`.
  std::unique_ptr<recording_handler> read(const std::string& bytes, bool keep_open) {
    this->response = {bytes, keep_open};
    const auto connection = this->connect(this->server.port());
    auto handler = this->run_call(*connection);
    connection->cancel();
    return handler;
  }

  scripted_response response;
  scripted_tcp_server server{[this](int) { return this->response; }};
};

const std::string early_body(early_body_bytes, 'd');

TEST_F(broken_response, a_reset_during_an_upload_does_not_complete_a_response_without_a_length) {
  for (const std::string version : {"1.1", "1.0"}) {
    for (const int reset_after_ms : {0, 5, 50}) {
      scripted_response response{"HTTP/" + version + " 200 OK\r\nRequest-Id: r1\r\n\r\n" + early_body};
      response.reset = true;
      response.close_delay_ms = reset_after_ms;
      for (int run = 0; run < runs_per_case; ++run) {
        const auto handler = this->upload(response);
        ASSERT_TRUE(handler->end) << version << " " << reset_after_ms;
        EXPECT_FALSE(handler->end->complete) << version << " " << reset_after_ms;
        EXPECT_EQ(handler->end->outcome, verdict::may_have_run) << version << " " << reset_after_ms;
      }
    }
  }
}

TEST_F(broken_response, a_reset_during_an_upload_on_a_kept_connection_does_not_complete_it) {
  scripted_response response{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n" + early_body};
  response.reset = true;
  response.close_delay_ms = 5;
  for (int run = 0; run < runs_per_case; ++run) {
    const auto handler = this->upload(response, true);
    ASSERT_TRUE(handler->end);
    EXPECT_FALSE(handler->end->complete);
    EXPECT_EQ(handler->end->outcome, verdict::may_have_run);
  }
}

TEST_F(broken_response, a_reset_does_not_complete_it_while_the_server_reads_the_upload) {
  scripted_response response{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n" + early_body};
  response.reset = true;
  for (std::size_t read_bytes = 1; read_bytes < upload_bytes; read_bytes *= 4) {
    response.read_bytes = read_bytes;
    for (int run = 0; run < runs_per_case; ++run) {
      const auto handler = this->upload(response);
      ASSERT_TRUE(handler->end) << read_bytes;
      EXPECT_FALSE(handler->end->complete) << read_bytes;
    }
  }
}

TEST_F(broken_response, a_reset_during_an_upload_does_not_complete_chunks_or_a_length) {
  for (const std::string framing :
       {"Transfer-Encoding: chunked\r\n\r\n8000\r\n", "Content-Length: 30000\r\n\r\n"}) {
    scripted_response response{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + framing + early_body};
    response.reset = true;
    for (int run = 0; run < runs_per_case; ++run) {
      const auto handler = this->upload(response);
      ASSERT_TRUE(handler->end) << framing;
      EXPECT_FALSE(handler->end->complete) << framing;
    }
  }
}

TEST_F(broken_response, a_response_without_a_length_that_ends_during_an_upload_is_complete) {
  scripted_response response{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n" + early_body};
  response.half_close = true;
  for (const int close_after_ms : {0, 5, 50}) {
    response.close_delay_ms = close_after_ms;
    for (int run = 0; run < runs_per_case; ++run) {
      const auto handler = this->upload(response);
      ASSERT_TRUE(handler->end) << close_after_ms;
      EXPECT_TRUE(handler->end->complete) << close_after_ms;
      EXPECT_EQ(handler->body, early_body) << close_after_ms;
    }
  }
}

TEST_F(broken_response, a_response_with_a_length_is_complete_even_if_a_reset_follows) {
  scripted_response response{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 20000\r\n\r\n" +
                             early_body};
  response.reset = true;
  response.close_delay_ms = 50;
  const auto handler = this->upload(response);
  ASSERT_TRUE(handler->end);
  EXPECT_TRUE(handler->end->complete);
  EXPECT_EQ(handler->body, early_body);
}

TEST_F(broken_response, a_status_outside_100_to_599_is_no_response) {
  const std::string sound = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\ngood";
  for (const std::string status :
       {"000", "001", "099", "600", "999", "00", "20", "2000", "-01", "2 0", "abc", ""}) {
    const std::string head = "HTTP/1.1 " + status + " X\r\nRequest-Id: r1\r\n";
    for (const std::string& rest : {std::string{"\r\ndata"}, std::string{"Content-Length: 4\r\n\r\ndata"},
                                    std::string{"Content-Length: 0\r\n\r\n"},
                                    std::string{"Transfer-Encoding: chunked\r\n\r\n4\r\ndata\r\n0\r\n\r\n"},
                                    "Content-Length: 4\r\n\r\ndata" + sound, "\r\n" + sound}) {
      for (const bool keep_open : {false, true}) {
        const auto handler = this->read(head + rest, keep_open);
        ASSERT_TRUE(handler->end) << head << rest;
        EXPECT_FALSE(handler->end->complete) << head << rest;
        EXPECT_EQ(handler->end->outcome, verdict::may_have_run) << head << rest;
        EXPECT_EQ(handler->status, 0) << head << rest;
        EXPECT_EQ(handler->body, "") << head << rest;
      }
    }
  }
}

TEST_F(broken_response, statuses_that_nobody_has_defined_are_responses) {
  for (const std::string status : {"299", "499", "599"}) {
    const auto handler =
        this->read("HTTP/1.1 " + status + " X\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\ndata", true);
    ASSERT_TRUE(handler->end) << status;
    EXPECT_TRUE(handler->end->complete) << status;
    EXPECT_EQ(std::to_string(handler->status), status);
    EXPECT_EQ(handler->body, "data") << status;
  }
}

TEST_F(broken_response, an_interim_response_has_no_body) {
  const std::string sound = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 4\r\n\r\ngood";
  const auto handler = this->read("HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\n" + sound, true);
  ASSERT_TRUE(handler->end);
  EXPECT_TRUE(handler->end->complete);
  EXPECT_EQ(handler->body, "good");
  for (const std::string& bytes :
       {std::string{"HTTP/1.1 103 X\r\n\r\n"}, "HTTP/1.1 103 X\r\nContent-Length: 4\r\n\r\ndata" + sound,
        std::string{"HTTP/1.1 101 X\r\n\r\ndata"}, "HTTP/1.1 101 X\r\n\r\n" + sound}) {
    const auto broken = this->read(bytes, false);
    ASSERT_TRUE(broken->end) << bytes;
    EXPECT_FALSE(broken->end->complete) << bytes;
    EXPECT_EQ(broken->status, 0) << bytes;
    EXPECT_EQ(broken->body, "") << bytes;
  }
}

TEST_F(broken_response, a_field_whose_name_is_no_token_makes_the_head_none) {
  std::vector<std::string> lines{"Bad Name: 1", "Bad\tName: 1", "Name : 1", "Name\t: 1", ": 1",
                                 "Name",        "(Name): 1",    "Na/me: 1", "Na\"me: 1", "Name\r: 1"};
  for (int byte = 0; byte < 256; ++byte) {
    if (byte <= ' ' || byte >= 127) {
      lines.push_back("Na" + std::string(1, static_cast<char>(byte)) + "me: 1");
    }
  }
  for (const std::string framing : {"Content-Length", "Transfer-Encoding"}) {
    const std::string value = framing == "Content-Length" ? ": 4" : ": chunked";
    for (const std::string blank : {" ", "\t", "\x01"}) {
      lines.push_back(framing + blank + value);
      lines.push_back(blank + framing + value);
      lines.push_back(framing.substr(0, 3) + blank + framing.substr(3) + value);
    }
  }
  for (const auto& line : lines) {
    for (const std::string& rest : {std::string{"\r\ndata"}, std::string{"Content-Length: 4\r\n\r\ndata"}}) {
      const std::string bytes = "HTTP/1.1 200 OK\r\n" + line + "\r\nRequest-Id: r1\r\n" + rest;
      const auto handler = this->read(bytes, false);
      ASSERT_TRUE(handler->end) << bytes;
      EXPECT_FALSE(handler->end->complete) << testing::PrintToString(bytes);
      EXPECT_EQ(handler->status, 0) << testing::PrintToString(bytes);
      EXPECT_EQ(handler->body, "") << testing::PrintToString(bytes);
    }
  }
}

}  // namespace
