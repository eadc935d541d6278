// A server connection from a caller: reads requests, keeps responses in order and detects a disconnect.
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

/// \brief Size and time limits for a caller's requests.
struct caller_limits {
  std::uint32_t max_header_bytes{16 << 10};
  std::uint64_t max_body_bytes{64 << 20};
  /// The maximum time from a request's first byte to the end of its head, and between pieces of its body.
  duration header_timeout{3000};
  /// The maximum time that a connection stays open without a request.
  duration idle_timeout{15'000};
};

/// \brief   One request of a caller and the response to it.
///
/// \details The response is buffered here until all earlier responses of the connection have been sent.
///          After the caller disconnects, all calls do nothing.
class caller_exchange : public std::enable_shared_from_this<caller_exchange> {
 public:
  caller_exchange(std::shared_ptr<caller_connection> owner, request_head head, std::string body,
                  time_point started, time_point received);

  [[nodiscard]] const request_head& head() const noexcept { return this->request; }
  [[nodiscard]] const std::string& body() const noexcept { return this->request_body; }
  /// \brief The time at which the request's first byte was read.
  [[nodiscard]] time_point started_at() const noexcept { return this->started; }
  /// \brief The time at which the request's last byte was read.
  [[nodiscard]] time_point received_at() const noexcept { return this->received; }
  /// \brief True if the response is unfinished and the caller is still connected.
  [[nodiscard]] bool is_open() const noexcept { return this->connection != nullptr && !this->finished; }

  /// \name Responding
  /// \{
  /// \brief Sends a complete response.
  void respond(int status, const header_fields& fields, std::string_view text);
  /// \brief   Sends a response head.
  /// \details Without a content length, the body is chunked; for HTTP/1.0 it ends with the connection.
  void begin(const response_head& head);
  void write(std::string_view piece);
  void finish();
  /// \brief Closes the connection, so that a partly sent response does not look complete.
  void abort();
  /// \brief True if so much output is unsent that the source of the body should pause.
  [[nodiscard]] bool is_congested() const noexcept;
  /// \brief True if the caller has not yet read all that was written.
  [[nodiscard]] bool has_unsent_output() const noexcept;
  /// \brief Sets the time until which the caller waits; a caller that pauses reading stays connected until
  /// then.
  void set_deadline(time_point deadline_in) noexcept;
  /// \}

  /// \name Events; each is called at most once, except `on_writable`
  /// \{
  /// \brief Called if the caller disconnects before the response is finished.
  std::function<void()> on_disconnect;
  /// \brief Called when all buffered output is written and this exchange is the first in the pipeline.
  std::function<void()> on_writable;
  /// \brief Calls `callback` once no earlier response is outstanding; immediately if none is.
  void when_first_in_pipeline(std::function<void()> callback);
  /// \}

 private:
  friend class caller_connection;

  void release();

  // Null after the caller disconnects or the response is sent.
  std::shared_ptr<caller_connection> connection;
  request_head request;
  std::string request_body;
  time_point started;
  time_point received;
  std::string output;
  std::function<void()> first_in_pipeline_callback;
  bool head_written{false};
  bool finished{false};
  bool chunked{false};
  bool omits_body{false};
  bool closes_connection{false};
};

/// \brief Handles the requests of all connections of a listener.
using request_handler = std::function<void(const std::shared_ptr<caller_exchange>&)>;

/// \brief   A connection from a caller. Pending socket operations and open exchanges keep it alive.
/// \details All members must be called on the thread that runs the socket's context.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(boost::asio::ip::tcp::socket accepted, const caller_limits& limits_in,
                    const clock_source& clock_in, request_handler on_request_in);

  void start();
  /// \brief Enforces the time limits; called every few hundred milliseconds.
  void enforce_timeouts();
  /// \brief From now on, responses close the connection.
  void drain() noexcept { this->draining = true; }
  /// \brief Accepts no more requests. Closes the connection after the responses to those in flight.
  void stop_reading();
  [[nodiscard]] bool is_closed() const noexcept { return this->phase == connection_phase::closed; }
  [[nodiscard]] bool is_idle() const noexcept {
    return this->pending.empty() && !this->has_partial_request();
  }
  /// \brief True while a response is written or the caller has not acknowledged all of the last one.
  [[nodiscard]] bool has_undelivered_output();

 private:
  friend class caller_exchange;

  enum class connection_phase : unsigned char {
    open,
    /// The last response is being written or delivered; input is discarded until the caller closes the
    /// connection.
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
  void reject(int status);
  void flush();
  void write_next_piece();
  void on_written();
  void enforce_linger_timeout();
  /// True if the caller has made no progress for so long that the connection should be closed.
  [[nodiscard]] bool is_stalled(time_point now) const noexcept;
  void begin_linger();
  void close_if_idle();
  void shutdown_output();
  void close_socket();
  [[nodiscard]] bool decide_close(const caller_exchange& exchange);

  boost::asio::ip::tcp::socket socket;
  // The listener's limits, which change with the configuration.
  const caller_limits& limits;
  const clock_source& clock;
  request_handler on_request;
  std::unique_ptr<request_parser> parser;
  std::string input;
  // In order of arrival; responses are sent in the same order.
  std::deque<std::shared_ptr<caller_exchange>> pending;
  // The bytes being written and how many of them the socket has taken.
  std::string outgoing;
  std::size_t outgoing_written{0};
  bool write_active{false};
  bool read_active{false};
  bool head_accepted{false};
  bool draining{false};
  // No more requests are read: a response will close the connection, the input was rejected, or reading
  // was stopped.
  bool input_ended{false};
  connection_phase phase{connection_phase::open};
  // When bytes were last read, or taken by the socket, or, while lingering, acknowledged by the caller.
  time_point last_activity;
  time_point request_started;
  // The latest deadline of all requests so far.
  time_point caller_deadline;
  // Unacknowledged bytes at the last check, while lingering.
  std::size_t undelivered{0};
};

}  // namespace zinnia
