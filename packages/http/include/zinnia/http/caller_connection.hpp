// A server connection from a caller: reads requests, keeps responses in order and detects a disconnect.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/reason.hpp"
#include "zinnia/http/caller_exchange.hpp"
#include "zinnia/http/fwd.hpp"
#include "zinnia/http/memory_budget.hpp"
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
  /// False if the handler does not use bodies: they are read, up to their limit, and dropped.
  bool keeps_bodies{true};
};

/// \brief Handles the requests of all connections of a listener.
using request_handler = std::function<void(const std::shared_ptr<caller_exchange>&)>;

/// \brief Refuses requests of which only a part has been read. Without it, they are read to their end, and
///        get 503 if there is no memory for them.
struct partial_request_handler {
  /// Tells why a request whose body is still to come is known to be refused, by its head and the time at
  /// which its first byte was read. Returns nullopt if it may be served.
  std::function<std::optional<reason>(const request_head&, time_point)> refusal;
  /// Responds to a request that is read no further. It has no body, and a head only if that was complete.
  std::function<void(const std::shared_ptr<caller_exchange>&, reason)> refuse;
};

/// \brief What the connections of a listener share.
struct connection_resources {
  /// What memory is charged to; null if it has no limit.
  memory_budget* memory{nullptr};
  /// The bytes that may arrive on a connection and not be read yet.
  std::size_t receive_window{max_receive_window};

  /// The window of a connection whose request is large.
  static constexpr std::size_t max_receive_window = 65'535;
};

/// \brief How little a connection deserves to be kept when there are too many, the least first.
enum class connection_standing : unsigned char {
  /// The caller has received the last response; only its close is missing.
  answered,
  /// A request has begun to arrive and makes no progress.
  stalled_request,
  idle,
  arriving_request,
  /// The caller does not read its response.
  stalled_response,
  /// A request is being served, or its response is being read; the connection is kept.
  in_service,
};

/// \brief   A connection from a caller. Pending socket operations and open exchanges keep it alive.
/// \details All members must be called on the thread that runs the socket's context.
class caller_connection : public std::enable_shared_from_this<caller_connection> {
 public:
  caller_connection(boost::asio::ip::tcp::socket accepted, const caller_limits& limits_in,
                    const clock_source& clock_in, request_handler on_request_in,
                    const partial_request_handler& partial_requests_in,
                    const connection_resources& resources = {});

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
  void refuse_partial_request(reason why);
  [[nodiscard]] connection_standing standing();
  /// \brief The time since which the connection has had its standing.
  [[nodiscard]] time_point standing_since() const noexcept;
  /// \brief Closes the connection at once. Requests in service are given up.
  void close() { this->close_socket(); }
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
  /// Parses requests and keeps the rest.
  /// \param data The kept input, or bytes that were read while there was none.
  void parse_input(std::string_view data);
  /// Parses requests from `data` and removes from it what has been used.
  void parse(std::string_view& data);
  /// Keeps the part of the input that could not be parsed yet.
  void keep_input(std::string_view rest);
  /// \param is_complete The body has been read too.
  [[nodiscard]] bool accept_head(bool is_complete);
  void deliver_request();
  void reject(int status);
  /// Ends a partly read request. Returns the exchange for its refusal; null if the caller knows from an
  /// earlier response that it is not read.
  [[nodiscard]] std::shared_ptr<caller_exchange> end_partial_request();
  void respond_refused(const std::shared_ptr<caller_exchange>& exchange, reason why);
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
  /// \param resets True to close the connection with a reset, whoever closes it, also as the process ends.
  void set_reset_on_close(bool resets);
  void close_socket();
  /// \param ends_with_connection True if the response's body ends with the connection, so that none can
  /// follow.
  [[nodiscard]] bool decide_close(const caller_exchange& exchange, bool ends_with_connection);

  // Memory.
  /// Charges the input and a partly read head. Refuses the request if there is no memory for them.
  void charge_input();
  /// Lets more bytes of a large request arrive at a time, if there is memory for them.
  void widen_receive_window();
  /// Frees the memory of a partly read request and refuses it.
  void free_partial_request();
  /// Frees the memory of responses that the caller does not take, and closes the connection.
  void free_responses();
  void note_output_progress(std::size_t bytes);
  /// Bytes of all responses that the socket has not taken.
  [[nodiscard]] std::size_t unsent_bytes() const noexcept;
  [[nodiscard]] bool is_memory_short() const noexcept {
    return this->memory != nullptr && this->memory->is_short();
  }

  /// Reading pauses when a connection has this much unparsed input.
  static constexpr std::size_t max_input_bytes = 256 << 10;

  boost::asio::ip::tcp::socket socket;
  // The listener's limits, which change with the configuration.
  const caller_limits& limits;
  const clock_source& clock;
  request_handler on_request;
  // The listener's.
  const partial_request_handler& partial_requests;
  memory_budget* memory;
  std::size_t receive_window;
  memory_holder partial_request{false, [this] { this->free_partial_request(); }};
  // Invariant: linked only while a write is active.
  memory_holder unread_response{true, [this] { this->free_responses(); }};
  // For this object and its socket.
  memory_charge own_charge{memory};
  memory_charge input_charge{memory, &partial_request};
  memory_charge output_charge{memory, &unread_response};
  std::unique_ptr<request_parser> parser;
  std::string input;
  // In order of arrival; responses are sent in the same order.
  std::deque<std::shared_ptr<caller_exchange>> pending;
  // The bytes being written and how many of them the socket has taken.
  std::string outgoing;
  std::size_t outgoing_written{0};
  // Bytes that the socket has taken since the caller's last progress was noted.
  std::size_t taken_since_progress{0};
  // Bytes read and dropped since a request was refused early.
  std::uint64_t discarded_bytes{0};
  bool write_active{false};
  bool read_active{false};
  bool head_accepted{false};
  bool has_wide_window{false};
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
