// How long a connection waits for its caller.
#include <algorithm>

#include "zinnia/http/caller_connection.hpp"
#include "zinnia/http/socket_options.hpp"

namespace zinnia {
namespace impl {
namespace {

/// The time to wait for the caller to close the connection after it has received the last response. An
/// earlier close could send a reset and make the caller lose the response.
constexpr duration linger_timeout{1000};
/// The maximum time that a write may make no progress.
constexpr duration write_timeout{10'000};
constexpr int status_request_timeout = 408;

}  // namespace
}  // namespace impl

void caller_connection::enforce_timeouts() {
  const auto now = this->clock.now();
  const auto since_activity = now - this->last_activity;
  if (this->phase == connection_phase::lingering) {
    this->enforce_linger_timeout();
    return;
  }
  if (this->phase != connection_phase::open) {
    return;
  }
  if (this->write_active && this->is_stalled(now)) {
    this->close_socket();
    return;
  }
  if (!this->pending.empty()) {
    return;
  }
  if (this->has_partial_request()) {
    this->recheck_partial_request();
    if (this->input_ended) {
      return;
    }
    const bool in_body = this->parser && this->parser->is_header_done();
    const auto elapsed = in_body ? since_activity : now - this->request_started;
    if (elapsed > this->limits.header_timeout) {
      this->reject(impl::status_request_timeout);
    }
    return;
  }
  const bool is_leftover = this->reading_stopped && !this->awaits_first_request();
  if (is_leftover || since_activity > this->limits.idle_timeout) {
    this->close_if_idle();
  }
}

void caller_connection::enforce_linger_timeout() {
  const auto now = this->clock.now();
  const auto undelivered_now = unacknowledged_bytes(this->socket.native_handle());
  if (undelivered_now < this->undelivered) {
    this->last_activity = now;
  }
  this->undelivered = undelivered_now;
  const bool is_delivered = !this->write_active && undelivered_now == 0;
  // A caller that is still sending reads the response after its next piece at the earliest.
  const auto limit = this->refused_early ? std::max(this->limits.header_timeout, impl::linger_timeout)
                                         : impl::linger_timeout;
  if (is_delivered ? now - this->last_activity > limit : this->is_stalled(now)) {
    this->close_socket();
  }
}

bool caller_connection::is_stalled(time_point now) const noexcept {
  return now - this->last_activity > impl::write_timeout && now > this->caller_deadline;
}

bool caller_connection::has_undelivered_output() {
  if (this->phase == connection_phase::closed) {
    return false;
  }
  return this->write_active || unacknowledged_bytes(this->socket.native_handle()) > 0;
}

}  // namespace zinnia
