// A server connection from a caller: reads requests, keeps responses in order and detects a disconnect.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "zinnia/core/clock.hpp"
#include "zinnia/http/caller_exchange.hpp"
#include "zinnia/http/fwd.hpp"
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

/// \brief Handles the requests of all connections of a listener.
using request_handler = std::function<void(const std::shared_ptr<caller_exchange>&)>;

/// \brief Refuses requests of which only a part has been read. Without it, they are read to their end.
struct partial_request_handler {
  /// Returns true if a request whose body is still to come is known to be refused, by its head and the time
  /// at which its first byte was read.
  std::function<bool(const request_head&, time_point)> is_refused;
  /// Responds to a request that is read no further. It has no body, and a head only if that was complete.
  request_handler refuse;
};

/// \brief   A connection from a caller. Pending socket operations and open exchanges keep it alive.
/// \details All members must be called on the thread that runs the socket's context.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(boost::asio::ip::tcp::socket accepted, const caller_limits& limits_in,
                    const clock_source& clock_in, request_handler on_request_in,
                    const partial_request_handler& partial_requests_in);

  void start();
  /// \brief Enforces the time limits; called every few hundred milliseconds.
  void enforce_timeouts();
  /// \brief From now on, responses close the connection.
  void drain() noexcept { this->draining = true; }
  /// \brief   Accepts no more requests. Closes the connection after the responses to those in flight.
  /// \details A request that has begun to arrive is read to its end; so is the first one of a new connection.
  void stop_reading();
  /// \brief Refuses a partly read request if its handler now refuses it.
  void recheck_partial_request();
  /// \brief Refuses a partly read request, unless an earlier response tells the caller that it is not read.
  void refuse_partial_request();
  [[nodiscard]] bool is_closed() const noexcept { return this->phase == connection_phase::closed; }
  [[nodiscard]] bool has_partial_request() const noexcept {
    return !this->input.empty() || (this->parser && this->parser->got_some());
  }
  [[nodiscard]] bool is_idle() const noexcept {
    return this->pending.empty() && !this->has_partial_request();
  }
  /// \brief True while a response is written or the caller has not acknowledged all of the last one.
  [[nodiscard]] bool has_undelivered_output();
  /// \brief True while a caller whose request was refused early may still be sending it, and so may not have
  ///        read the response.
  [[nodiscard]] bool awaits_rest_of_request() const noexcept {
    return this->phase == connection_phase::lingering && this->refused_early;
  }
  /// \brief True while the first request of a new connection may be on its way.
  [[nodiscard]] bool awaits_first_request() const noexcept;

 private:
  friend class caller_exchange;

  enum class connection_phase : unsigned char {
    open,
    /// The last response is being written or delivered; input is discarded until the caller closes the
    /// connection.
    lingering,
    closed,
  };

  void wait_readable();
  void read_available();
  void parse_input();
  /// \param is_complete The body has been read too.
  [[nodiscard]] bool accept_head(bool is_complete);
  void deliver_request();
  void reject(int status);
  /// Reads no more input and drops what has been read.
  void end_input();
  /// True if the response to the latest request closes the connection: what the caller has sent behind that
  /// request counts as unread, and it knows so.
  [[nodiscard]] bool is_partial_request_unread() const noexcept;
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

  /// Reading pauses when a connection has this much unparsed input.
  static constexpr std::size_t max_input_bytes = 256 << 10;

  boost::asio::ip::tcp::socket socket;
  // The listener's limits, which change with the configuration.
  const caller_limits& limits;
  const clock_source& clock;
  request_handler on_request;
  // The listener's.
  const partial_request_handler& partial_requests;
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
  // Only a request that has begun to arrive is still read.
  bool reading_stopped{false};
  // A request has been read, or refused.
  bool has_carried_request{false};
  // A request was refused before it was read to its end.
  bool refused_early{false};
  // No more requests are read: a response will close the connection, the input was rejected, or reading
  // was stopped.
  bool input_ended{false};
  connection_phase phase{connection_phase::open};
  // When bytes were last read, or taken by the socket, or, while lingering, acknowledged by the caller.
  time_point last_activity;
  time_point request_started;
  time_point accepted_at;
  // The latest deadline of all requests so far.
  time_point caller_deadline;
  // Unacknowledged bytes at the last check, while lingering.
  std::size_t undelivered{0};
};

}  // namespace zinnia
