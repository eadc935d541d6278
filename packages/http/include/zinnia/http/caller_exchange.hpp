// One request of a caller and its response, which waits for the earlier responses of the connection.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "zinnia/core/clock.hpp"
#include "zinnia/http/body_buffer.hpp"
#include "zinnia/http/fwd.hpp"
#include "zinnia/http/memory_budget.hpp"
#include "zinnia/http/message.hpp"

namespace zinnia {

/// \brief   One request of a caller and the response to it.
///
/// \details The response is buffered here until all earlier responses of the connection have been sent.
///          After the caller disconnects, all calls do nothing.
class caller_exchange : public std::enable_shared_from_this<caller_exchange> {
 public:
  caller_exchange(std::shared_ptr<caller_connection> owner, request_head head, body_buffer body,
                  time_point started, time_point received);

  [[nodiscard]] const request_head& head() const noexcept { return this->request; }
  [[nodiscard]] const body_buffer& body() const noexcept { return *this->request_body; }
  /// \brief The body, for those that may use it longer than this object lives.
  [[nodiscard]] const std::shared_ptr<const body_buffer>& shared_body() const noexcept {
    return this->request_body;
  }
  /// \brief Frees the body as soon as nobody else uses it; the request is not sent again.
  void release_body();
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
  /// \brief   Tells that the response is sent as it arrives.
  /// \details If its source breaks off, the connection closes, and the responses to later requests are lost.
  void set_may_break() noexcept { this->may_break = true; }
  /// \brief True if an earlier response of the connection is unfinished and may break.
  [[nodiscard]] bool is_behind_breakable_response() const noexcept;
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
  /// Charges what the output has allocated, and hands it on if it is this exchange's turn.
  void pass_output_on();
  /// Moves the output to the end of `sent`.
  void move_output_to(std::string& sent);

  // Null after the caller disconnects or the response is sent.
  std::shared_ptr<caller_connection> connection;
  request_head request;
  std::shared_ptr<const body_buffer> request_body;
  // For the head and for what the request needs while it is served.
  memory_charge request_charge;
  time_point started;
  time_point received;
  std::string output;
  memory_charge output_charge;
  std::function<void()> first_in_pipeline_callback;
  bool may_break{false};
  bool head_written{false};
  bool finished{false};
  bool chunked{false};
  bool omits_body{false};
  bool closes_connection{false};
};

}  // namespace zinnia
