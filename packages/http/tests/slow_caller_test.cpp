// Tests caller_connection with callers that read slowly, pause or go on sending. Both ends and the clock are
// driven by hand on one thread.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

#include "zinnia/core/tcp_timeouts.hpp"
#include "zinnia/http/caller_connection.hpp"
#include "zinnia/http/socket_options.hpp"

using namespace zinnia;
using boost::asio::ip::tcp;

namespace {

class hand_set_clock final : public clock_source {
 public:
  [[nodiscard]] time_point now() const noexcept override { return this->current; }
  time_point current{1'000};
};

class slow_caller : public testing::Test {
 protected:
  void connect(request_handler on_request) {
    tcp::acceptor acceptor{this->context, tcp::endpoint{boost::asio::ip::address_v4::loopback(), 0}};
    this->caller.connect(acceptor.local_endpoint());
    this->caller.non_blocking(true);
    this->connection = std::make_shared<caller_connection>(acceptor.accept(), this->limits, this->clock,
                                                           std::move(on_request), this->partial_requests);
    this->connection->start();
  }
  /// Sends the bytes and returns when the connection has read them. Without the wait they may still be on
  /// their way: the system holds a second small piece back until the first is acknowledged.
  void send(const std::string& bytes) {
    boost::asio::write(this->caller, boost::asio::buffer(bytes));
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds{10};
    while (unacknowledged_bytes(this->caller.native_handle()) > 0 && !this->connection->is_closed()) {
      ASSERT_LT(std::chrono::steady_clock::now(), limit) << "the bytes do not arrive";
      this->context.poll();
    }
    this->context.poll();
  }
  void pass(duration time) {
    this->clock.current = this->clock.current + time;
    this->context.poll();
    this->connection->enforce_timeouts();
    this->context.poll();
  }
  /// Reads what has arrived, up to `limit` bytes. Returns false once the connection has ended.
  bool read_some(std::size_t limit) {
    boost::system::error_code ec;
    std::vector<char> buffer(limit);
    this->received += this->caller.read_some(boost::asio::buffer(buffer), ec);
    this->context.poll();
    this->ended_cleanly = ec == boost::asio::error::eof;
    return !ec || ec == boost::asio::error::would_block;
  }
  /// Reads to the end, with `pause` of time after each piece.
  void read_slowly(std::size_t piece, duration pause) {
    while (this->read_some(piece)) {
      this->pass(pause);
    }
  }
  static request_handler respond_with(std::size_t size, std::optional<time_point> deadline = std::nullopt) {
    return [size, deadline](const std::shared_ptr<caller_exchange>& exchange) {
      if (deadline) {
        exchange->set_deadline(*deadline);
      }
      exchange->respond(200, {}, std::string(size, 'x'));
    };
  }

  boost::asio::io_context context;
  hand_set_clock clock;
  caller_limits limits;
  tcp::socket caller{this->context};
  partial_request_handler partial_requests;
  std::shared_ptr<caller_connection> connection;
  std::size_t received{0};
  bool ended_cleanly{false};
};

constexpr std::size_t large_body = 32 << 20;
const std::string closing_request = "GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n";

/// Each piece takes longer than the linger timeout, so the timeout must count from the last progress.
TEST_F(slow_caller, receives_the_whole_of_a_closing_response) {
  this->connect(respond_with(large_body));
  this->send(closing_request);
  this->read_slowly(4 << 20, duration{1'500});
  EXPECT_TRUE(this->ended_cleanly);
  EXPECT_GT(this->received, large_body);
}

TEST_F(slow_caller, may_pause_until_its_deadline) {
  this->connect(respond_with(large_body, this->clock.current + duration{30'000}));
  this->send(closing_request);
  EXPECT_TRUE(this->connection->has_undelivered_output());
  this->pass(duration{29'000});
  EXPECT_FALSE(this->connection->is_closed());
  this->read_slowly(4 << 20, duration{100});
  EXPECT_TRUE(this->ended_cleanly);
  EXPECT_GT(this->received, large_body);
}

TEST_F(slow_caller, is_closed_if_it_makes_no_progress_after_its_deadline) {
  this->connect(respond_with(large_body, this->clock.current + duration{5'000}));
  this->send(closing_request);
  this->pass(duration{9'000});
  EXPECT_FALSE(this->connection->is_closed());
  this->pass(duration{2'000});
  EXPECT_TRUE(this->connection->is_closed());
}

TEST_F(slow_caller, does_not_keep_a_finished_connection_open_by_sending) {
  this->connect(respond_with(4));
  this->send(closing_request);
  this->read_some(1 << 10);
  for (int i = 0; i < 4 && !this->connection->is_closed(); ++i) {
    this->send("more");
    this->pass(duration{400});
  }
  EXPECT_TRUE(this->connection->is_closed());
}

TEST_F(slow_caller, has_output_to_deliver_until_it_has_read_everything) {
  this->connect(respond_with(large_body));
  this->send("GET /1 HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(this->connection->is_idle());
  EXPECT_TRUE(this->connection->has_undelivered_output());
  while (this->received < large_body) {
    this->read_some(4 << 20);
  }
  // The last acknowledgement may take the system a moment.
  while (this->connection->has_undelivered_output()) {
    this->context.poll();
  }
  EXPECT_FALSE(this->connection->is_closed());
}

/// With `TCP_USER_TIMEOUT` the system itself resets a caller that has paused reading.
TEST_F(slow_caller, connection_has_no_user_timeout) {
  tcp::socket socket{this->context, tcp::v4()};
  const auto user_timeout = [&] {
    int value = -1;
    socklen_t size = sizeof value;
    EXPECT_EQ(getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, &size), 0);
    return value;
  };
  set_caller_tcp_options(socket.native_handle());
  EXPECT_EQ(user_timeout(), 0);
  set_tcp_options(socket.native_handle());
  EXPECT_EQ(user_timeout(), tcp_user_timeout.ms);
}

}  // namespace
