// One connection to a backend server, carrying one call at a time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/reason.hpp"
#include "zinnia/core/verdict.hpp"
#include "zinnia/http/message.hpp"
#include "zinnia/http/message_parser.hpp"

namespace zinnia {

/// \brief How a call ended.
struct backend_call_result {
  /// Whether the whole answer was received in valid framing.
  bool complete{false};
  /// What is known of the request when there is no complete answer.
  verdict outcome{verdict::did_not_run};
  reason failure_reason{reason::none};
  /// The backend server is about to close this connection.
  bool closes{false};
};

/// \brief Receives what a call brings; none is called after `cancel`.
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

/// \brief A request ready to be sent, and what identifies its answer.
struct backend_call {
  /// Head and body as they go on the wire.
  std::string bytes;
  /// Whether the answer has no body whatever its head says.
  bool is_head_request{false};
  /// Name and value of the field by which the answer shows which request it belongs to; empty: not checked.
  std::string_view id_field;
  std::string id;
};

/// \brief   The connection. Lives as long as an operation of its own is under way.
/// \details Nothing is ever sent twice: a call that fails on a kept connection is the caller's to repeat.
class backend_connection : public std::enable_shared_from_this<backend_connection> {
 public:
  backend_connection(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint address_in,
                     const clock_source& clock_in);

  /// \brief Sends a call, connecting first if need be. The connection must be idle.
  /// \param events Must outlive the call, or `cancel` must be called.
  void start(backend_call call, backend_call_handler& events);
  /// \brief Abandons the call and closes the connection.
  void cancel();
  /// \brief Stops or resumes reading the answer.
  void set_paused(bool paused_in);

  /// \brief How long connecting took, if the present or last call had to connect.
  [[nodiscard]] std::optional<duration> connect_time() const noexcept { return this->connected_in; }
  [[nodiscard]] bool is_open() const noexcept { return this->phase != connection_phase::closed; }
  /// \brief Whether another call may be started at this time.
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
  void complete_answer(bool keeps_open);
  void fail(verdict outcome, reason why);
  void close_socket();
  void finish(const backend_call_result& end);
  void make_parser();

  boost::asio::ip::tcp::socket socket;
  boost::asio::ip::tcp::endpoint address;
  const clock_source& clock;
  boost::asio::steady_timer connect_timer;
  connection_phase phase{connection_phase::fresh};
  backend_call current;
  // Null when no call is under way.
  backend_call_handler* listener{nullptr};
  std::unique_ptr<response_parser> parser;
  std::string input;
  bool request_written{false};
  bool head_delivered{false};
  // The answer being read belongs to an earlier request and is discarded.
  bool skipping{false};
  bool was_skipped{false};
  bool any_byte_received{false};
  bool read_active{false};
  bool paused{false};
  time_point idle_until;
  time_point started_at;
  std::optional<duration> connected_in;
};

}  // namespace zinnia
