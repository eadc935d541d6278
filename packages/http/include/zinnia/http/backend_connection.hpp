// A client connection to a backend server. It carries one call (a request and its response) at a time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/reason.hpp"
#include "zinnia/core/verdict.hpp"
#include "zinnia/http/body_buffer.hpp"
#include "zinnia/http/message.hpp"
#include "zinnia/http/message_parser.hpp"

namespace zinnia {

/// \brief The result of a call.
struct backend_call_result {
  /// True if the whole response was received and its framing is valid.
  bool complete{false};
  /// Whether the backend server ran the request, as far as the connection can tell.
  verdict outcome{verdict::did_not_run};
  /// `reason::none` if `complete`.
  reason failure_reason{reason::none};
  /// True if the backend server closes the connection after this response.
  bool closes_connection{false};
  /// True if no process listens at the server's address.
  bool connection_refused{false};
};

/// \brief Receives the response and the result of a call. No member is called after `cancel`.
class backend_call_handler {
 public:
  backend_call_handler() = default;
  backend_call_handler(const backend_call_handler&) = delete;
  backend_call_handler& operator=(const backend_call_handler&) = delete;
  backend_call_handler(backend_call_handler&&) = delete;
  backend_call_handler& operator=(backend_call_handler&&) = delete;
  virtual ~backend_call_handler() = default;

  virtual void on_head(const response_head& head) = 0;
  virtual void on_body(std::string_view piece) = 0;
  virtual void on_end(const backend_call_result& end) = 0;
};

/// \brief A serialized request, and the field that identifies its response.
struct backend_call {
  /// The head as sent on the wire.
  std::string bytes;
  /// The body, which may be null.
  std::shared_ptr<const body_buffer> body;
  /// True for a HEAD request: the response has no body even if its head states a length.
  bool is_head_request{false};
  /// Name of the response field that repeats the request's identifier. Empty: responses are not checked.
  std::string_view id_field;
  /// The identifier that the response must have, if it has the field. Empty: the request has none.
  std::string id;
  /// The responses on this connection come from several servers, some of which may name no requests.
  bool is_relayed{false};
};

/// \brief   A connection to a backend server. Pending socket operations keep it alive.
/// \details Never sends a request twice. A call that fails on a reused connection is reported as failed, and
///          the user of this class decides on a retry.
class backend_connection : public std::enable_shared_from_this<backend_connection> {
 public:
  backend_connection(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint address_in,
                     const clock_source& clock_in);

  [[nodiscard]] const boost::asio::ip::tcp::endpoint& endpoint() const noexcept { return this->address; }
  /// \brief Sends a request. A new connection connects first; any other must be idle.
  /// \param call_handler Must outlive the call unless `cancel` is called.
  void start(backend_call call, backend_call_handler& call_handler);
  /// \brief Drops the call without a result and resets the connection, so that nothing of it is sent later.
  void cancel();
  /// \brief Pauses or resumes reading the response.
  void set_paused(bool paused_in);

  /// \brief The time taken to connect, if the current or last call had to connect.
  [[nodiscard]] std::optional<duration> connect_time() const noexcept { return this->connect_duration; }
  /// \brief True while nothing of the call has been sent, because the connection is not established yet.
  [[nodiscard]] bool is_connecting() const noexcept { return this->phase == connection_phase::connecting; }
  [[nodiscard]] bool is_established() const noexcept {
    return this->phase == connection_phase::busy || this->phase == connection_phase::idle;
  }
  /// \brief True if a call has had no part of a response for that long.
  [[nodiscard]] bool is_silent(duration silence, time_point now) const noexcept {
    return this->phase == connection_phase::busy && !this->any_byte_received &&
           now - this->started_at >= silence;
  }
  [[nodiscard]] bool is_open() const noexcept { return this->phase != connection_phase::closed; }
  /// \brief True if one of the last calls on this connection had this identifier: a response to it that is
  ///        sent once more could not be told from the response to another call with the same one.
  [[nodiscard]] bool has_carried(std::string_view id) const noexcept;
  /// \brief True if another call may be started at time `now`.
  [[nodiscard]] bool is_reusable(time_point now) const noexcept {
    return this->phase == connection_phase::idle && now < this->idle_until;
  }

 private:
  enum class connection_phase : unsigned char { fresh, connecting, busy, idle, closed };

  void on_connected();
  void send_request();
  void wait_readable();
  void read_available();
  void consume(std::string_view data);
  [[nodiscard]] bool deliver_head();
  /// Decides by the identifier if the response is the one to the current request. Ends the call if that
  /// cannot be told.
  [[nodiscard]] bool is_current_response(const response_head& head);
  /// True if the response could not be told from that to a later request if it came once more.
  [[nodiscard]] bool is_ambiguous_if_repeated() const noexcept;
  /// Ends a call whose response has no length, and so ends with its connection.
  void complete_at_end_of_stream();
  void complete_response(bool keeps_open);
  void fail(verdict outcome, reason failure_reason, bool is_refused = false);
  /// Closes the connection; if a call is in progress, with a reset.
  void give_up_call();
  void close_socket();
  void finish(const backend_call_result& end);
  /// Frees the request, which is not sent again on this connection.
  void free_request() noexcept;
  void make_parser();

  boost::asio::ip::tcp::socket socket;
  boost::asio::ip::tcp::endpoint address;
  const clock_source& clock;
  boost::asio::steady_timer connect_timer;
  connection_phase phase{connection_phase::fresh};
  backend_call current;
  // Null when no call is in flight.
  backend_call_handler* handler{nullptr};
  std::unique_ptr<response_parser> parser;
  std::string input;
  bool request_written{false};
  // The connection has failed, so the end of its stream is not the end of a response.
  bool write_failed{false};
  bool head_delivered{false};
  // The response being read belongs to an earlier request and is discarded.
  bool discarding_response{false};
  // The identifiers of the last calls, as hashes, the oldest first.
  std::deque<std::uint64_t> carried_ids;
  // A response on this connection has named its request, so the server does so in all.
  bool responses_name_requests{false};
  // A response was discarded during this call, so the connection is not reused.
  bool response_discarded{false};
  // The response to the current request names no request.
  bool response_unnamed{false};
  // Responses to the current request's connection that were not its final response.
  int skipped_responses{0};
  bool any_byte_received{false};
  bool read_active{false};
  bool paused{false};
  time_point idle_until;
  time_point started_at;
  std::optional<duration> connect_duration;
};

}  // namespace zinnia
