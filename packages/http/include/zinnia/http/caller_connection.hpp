// One connection from a caller: reads requests, keeps answers in order and notices when the caller leaves.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "zinnia/core/clock.hpp"
#include "zinnia/http/fwd.hpp"
#include "zinnia/http/message.hpp"
#include "zinnia/http/message_parser.hpp"

namespace zinnia {

/// \brief What a caller may send and how long it may take.
struct caller_limits {
  std::uint32_t max_header_bytes{16 << 10};
  std::uint64_t max_body_bytes{64 << 20};
  /// From a request's first byte to the end of its head, and between pieces of its body.
  duration header_timeout{3000};
  /// How long a connection may stay open with no request.
  duration idle_timeout{15'000};
};

/// \brief   One request of a caller and the place of its answer.
///
/// \details The answer is written to the socket when those before it are out; until then it is kept here.
///          Calls after the caller has left do nothing.
class caller_exchange : public std::enable_shared_from_this<caller_exchange> {
 public:
  caller_exchange(std::shared_ptr<caller_connection> owner, request_head head, std::string body,
                  time_point received);

  [[nodiscard]] const request_head& head() const noexcept { return this->request; }
  [[nodiscard]] const std::string& body() const noexcept { return this->request_body; }
  /// \brief When the request's last byte was read.
  [[nodiscard]] time_point received_at() const noexcept { return this->received; }
  /// \brief Whether an answer can still reach the caller.
  [[nodiscard]] bool is_open() const noexcept { return this->connection != nullptr && !this->finished; }

  /// \name Answering
  /// \{
  /// \brief Sends a whole answer.
  void respond(int status, const header_fields& fields, std::string_view text);
  /// \brief Sends a head; without a length the body goes in chunks.
  void begin(const response_head& head);
  void write(std::string_view piece);
  void finish();
  /// \brief Ends the connection so that an answer already begun does not look complete.
  void abort();
  /// \brief Whether so much waits to be sent that the source of the body should pause.
  [[nodiscard]] bool is_congested() const noexcept;
  /// \}

  /// \name Events; each is called at most once, except `on_writable`
  /// \{
  std::function<void()> on_disconnect;
  std::function<void()> on_writable;
  /// \brief Calls back when no earlier answer is outstanding, at once if that is so now.
  void when_first_in_pipeline(std::function<void()> callback);
  /// \}

 private:
  friend class caller_connection;

  void release();

  // Null once the caller has left or the answer is out.
  std::shared_ptr<caller_connection> connection;
  request_head request;
  std::string request_body;
  time_point received;
  std::string output;
  std::function<void()> first_callback;
  bool begun{false};
  bool finished{false};
  bool chunked{false};
  bool bodiless{false};
  bool closes{false};
};

/// \brief Receives the requests of all connections of a listener.
using request_handler = std::function<void(const std::shared_ptr<caller_exchange>&)>;

/// \brief   The connection itself. Lives as long as an operation or an exchange refers to it.
/// \details All calls come from the thread that runs the socket's context.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(boost::asio::ip::tcp::socket accepted, const caller_limits& limits_in,
                    const clock_source& clock_in, request_handler on_request_in);

  void start();
  /// \brief Ends what took too long; called every few hundred milliseconds.
  void enforce_timeouts();
  /// \brief From now on answers close the connection.
  void drain() noexcept { this->draining = true; }
  /// \brief Takes no further request; closes the connection when those under way are answered.
  void stop_reading();
  [[nodiscard]] bool is_closed() const noexcept { return this->phase == connection_phase::closed; }
  [[nodiscard]] bool is_idle() const noexcept {
    return this->pending.empty() && !this->has_partial_request();
  }

 private:
  friend class caller_exchange;

  enum class connection_phase : unsigned char {
    open,
    /// The last answer is out or being written; further input is discarded until the caller closes.
    lingering,
    closed,
  };

  [[nodiscard]] bool has_partial_request() const noexcept {
    return !this->input.empty() || (this->parser && this->parser->got_some());
  }
  void wait_readable();
  void read_available();
  void parse_input();
  void check_body_size();
  [[nodiscard]] bool accept_head();
  void deliver_request();
  void refuse(int status);
  void flush();
  void on_written(std::size_t bytes);
  void begin_linger();
  void close_if_idle();
  void end_output();
  void shut_down();
  [[nodiscard]] bool decide_close(const caller_exchange& exchange);

  boost::asio::ip::tcp::socket socket;
  // Refers to the listener's limits, which change with the configuration.
  const caller_limits& limits;
  const clock_source& clock;
  request_handler on_request;
  std::unique_ptr<request_parser> parser;
  std::string input;
  // In the order of arrival; answers leave in the same order.
  std::deque<std::shared_ptr<caller_exchange>> pending;
  std::string writing;
  bool write_active{false};
  bool read_active{false};
  bool head_accepted{false};
  bool draining{false};
  // No further request is taken: an answer that closes has been decided on, or the input is malformed.
  bool input_ended{false};
  connection_phase phase{connection_phase::open};
  time_point last_activity;
  time_point request_started;
};

}  // namespace zinnia
