// Tests how caller_exchange frames a response: length, chunks, no body, and calls that come too late. Both
// ends run on one thread.
#include <gtest/gtest.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "zinnia/http/caller_connection.hpp"

using namespace zinnia;
using boost::asio::ip::tcp;

namespace {

class caller_exchange_test : public testing::Test {
 protected:
  void SetUp() override {
    tcp::acceptor acceptor{this->context, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}};
    this->caller.connect(acceptor.local_endpoint());
    this->caller.non_blocking(true);
    this->connection = std::make_shared<caller_connection>(
        acceptor.accept(), this->limits, this->clock,
        [this](const std::shared_ptr<caller_exchange>& exchange) { this->exchanges.push_back(exchange); },
        this->partial_requests);
    this->connection->start();
  }
  /// Sends a request and returns its exchange once it has been read.
  [[nodiscard]] std::shared_ptr<caller_exchange> send(const std::string& request) {
    boost::asio::write(this->caller, boost::asio::buffer(request));
    const auto expected = this->exchanges.size() + 1;
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds{10};
    while (this->exchanges.size() < expected && std::chrono::steady_clock::now() < limit) {
      this->context.poll();
    }
    EXPECT_EQ(this->exchanges.size(), expected);
    return this->exchanges.back();
  }
  /// Reads to the end of the connection, which is an orderly one unless `expected_end` says otherwise.
  [[nodiscard]] std::string read_all(
      const boost::system::error_code& expected_end = boost::asio::error::eof) {
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds{10};
    std::string received;
    boost::system::error_code ec;
    while ((!ec || ec == boost::asio::error::would_block) && std::chrono::steady_clock::now() < limit) {
      std::array<char, 1024> buffer{};
      ec = {};
      received.append(buffer.data(), this->caller.read_some(boost::asio::buffer(buffer), ec));
      this->context.poll();
    }
    EXPECT_EQ(ec, expected_end) << ec.message();
    return received;
  }

  boost::asio::io_context context;
  boot_clock clock;
  caller_limits limits;
  tcp::socket caller{this->context};
  partial_request_handler partial_requests;
  std::shared_ptr<caller_connection> connection;
  std::vector<std::shared_ptr<caller_exchange>> exchanges;
};

[[nodiscard]] std::string request(const std::string& method, const std::string& version) {
  return method + " /1 HTTP/" + version + "\r\nConnection: close\r\n\r\n";
}

[[nodiscard]] std::string body_of(const std::string& response) {
  return response.substr(response.find("\r\n\r\n") + 4);
}

TEST_F(caller_exchange_test, a_body_of_unknown_length_is_chunked) {
  const auto exchange = this->send(request("GET", "1.1"));
  exchange->begin({});
  exchange->write("abc");
  exchange->write("");
  exchange->write("0123456789");
  exchange->finish();
  const auto received = this->read_all();
  EXPECT_NE(received.find("Transfer-Encoding: chunked\r\n"), std::string::npos) << received;
  EXPECT_EQ(body_of(received), "3\r\nabc\r\na\r\n0123456789\r\n0\r\n\r\n");
}

TEST_F(caller_exchange_test, a_body_for_an_old_caller_ends_with_the_connection) {
  const auto exchange = this->send("GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  exchange->begin({});
  exchange->write("abc");
  exchange->finish();
  const auto received = this->read_all();
  EXPECT_EQ(received.find("Transfer-Encoding"), std::string::npos) << received;
  EXPECT_EQ(body_of(received), "abc");
}

TEST_F(caller_exchange_test, a_body_for_an_old_caller_that_breaks_off_does_not_look_complete) {
  const auto exchange = this->send("GET /1 HTTP/1.0\r\n\r\n");
  exchange->begin({});
  exchange->write("abc");
  while (exchange->has_unsent_output()) {
    this->context.poll();
  }
  exchange->abort();
  static_cast<void>(this->read_all(boost::asio::error::connection_reset));
}

TEST_F(caller_exchange_test, a_body_for_an_old_caller_is_not_complete_before_all_of_it_is_written) {
  // More than the buffers of both sockets take.
  const std::string body(16 << 20, 'b');
  const auto exchange = this->send("GET /1 HTTP/1.0\r\n\r\n");
  exchange->begin({});
  exchange->write(body);
  exchange->finish();
  this->context.poll();
  this->connection->close();
  EXPECT_LT(this->read_all(boost::asio::error::connection_reset).size(), body.size());
}

TEST_F(caller_exchange_test, no_response_follows_a_body_that_ends_with_the_connection) {
  const std::string old_request = "GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n";
  const auto exchange = this->send(old_request);
  const auto next = this->send(old_request);
  exchange->begin({});
  next->respond(200, {}, "next");
  exchange->write("abc");
  exchange->finish();
  EXPECT_EQ(body_of(this->read_all()), "abc");
}

TEST_F(caller_exchange_test, a_response_to_head_has_the_length_and_no_body) {
  const auto exchange = this->send(request("HEAD", "1.1"));
  exchange->respond(200, {}, "abc");
  const auto received = this->read_all();
  EXPECT_NE(received.find("Content-Length: 3\r\n"), std::string::npos) << received;
  EXPECT_EQ(body_of(received), "");
}

TEST_F(caller_exchange_test, a_response_begins_and_ends_once) {
  const auto exchange = this->send(request("GET", "1.1"));
  exchange->respond(200, {}, "abc");
  EXPECT_FALSE(exchange->is_open());
  exchange->respond(503, {}, "later");
  exchange->write("more");
  exchange->finish();
  const auto received = this->read_all();
  EXPECT_TRUE(received.starts_with("HTTP/1.1 200 ")) << received;
  EXPECT_EQ(body_of(received), "abc");
}

TEST_F(caller_exchange_test, nothing_happens_after_the_caller_has_left) {
  const auto exchange = this->send("GET /1 HTTP/1.1\r\n\r\n");
  int disconnects = 0;
  exchange->on_disconnect = [&] { ++disconnects; };
  this->caller.close();
  const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds{10};
  while (disconnects == 0 && std::chrono::steady_clock::now() < limit) {
    this->context.poll();
  }
  EXPECT_EQ(disconnects, 1);
  EXPECT_FALSE(exchange->is_open());
  EXPECT_FALSE(exchange->is_congested());
  EXPECT_FALSE(exchange->has_unsent_output());
  exchange->set_deadline(this->clock.now());
  exchange->when_first_in_pipeline([] { FAIL() << "there is no pipeline any more"; });
  exchange->respond(200, {}, "abc");
  exchange->abort();
  EXPECT_EQ(disconnects, 1);
}

}  // namespace
