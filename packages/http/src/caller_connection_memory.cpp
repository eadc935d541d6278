// What a connection holds in memory, what it frees when memory is short, and which connections are kept when
// there are too many.
#include <algorithm>
#include <boost/asio/post.hpp>
#include <numeric>
#include <utility>

#include "zinnia/http/caller_connection.hpp"
#include "zinnia/http/free_memory.hpp"
#include "zinnia/http/socket_options.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Input that is kept unparsed has at most this much capacity beyond twice its size.
constexpr std::size_t max_spare_input = 4 << 10;
/// A caller that takes fewer bytes of its response makes no progress.
constexpr std::size_t min_output_progress = 4 << 10;
/// A request or a response is stalled once it has made no progress for that long.
constexpr duration stall_time{1000};

}  // namespace
}  // namespace impl

void caller_connection::keep_input(std::string_view rest) {
  if (this->input_ended) {
    return;
  }
  if (rest.empty()) {
    free_memory(this->input);
  } else if (rest.size() < this->input.size()) {
    this->input.erase(0, this->input.size() - rest.size());
  } else if (this->input.empty()) {
    this->input = rest;
  }
  if (this->input.capacity() > 2 * this->input.size() + impl::max_spare_input) {
    this->input.shrink_to_fit();
  }
  this->charge_input();
}

void caller_connection::charge_input() {
  if (!this->has_partial_request()) {
    if (std::exchange(this->has_wide_window, false)) {
      set_receive_window(this->socket.native_handle(), this->receive_window);
    }
    this->input_charge.resize(0);
    this->partial_request.unlink();
    return;
  }
  auto needed = this->input.capacity() + (this->parser ? this->parser->head_memory() : 0);
  if (this->input.size() >= max_input_bytes) {
    // Reading pauses, so the socket's buffer fills up.
    needed += this->receive_window;
  }
  if (this->has_wide_window) {
    needed += connection_resources::max_receive_window;
  }
  if (!this->input_charge.try_resize(needed)) {
    this->refuse_partial_request(reason::memory_short);
    return;
  }
  if (this->memory != nullptr && !this->partial_request.is_linked()) {
    this->memory->note_progress(this->partial_request);
  }
  if (!this->has_wide_window && this->partial_request.held() > memory_budget::max_small_request) {
    this->widen_receive_window();
  }
}

void caller_connection::widen_receive_window() {
  if (this->input_charge.try_resize(this->input_charge.size() + connection_resources::max_receive_window)) {
    this->has_wide_window = true;
    set_receive_window(this->socket.native_handle(), connection_resources::max_receive_window);
  }
}

void caller_connection::free_partial_request() {
  if (this->phase != connection_phase::open || this->input_ended) {
    return;
  }
  if (const auto exchange = this->end_partial_request()) {
    boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this(), exchange] {
      self->respond_refused(exchange, reason::memory_short);
    });
  }
}

void caller_connection::free_responses() {
  // The pending write must not use the buffers that go.
  boost::system::error_code ignored;
  this->socket.close(ignored);
  free_memory(this->outgoing);
  this->output_charge.resize(0);
  for (const auto& exchange : this->pending) {
    free_memory(exchange->output);
    exchange->output_charge.resize(0);
  }
  boost::asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->close_socket(); });
}

void caller_connection::note_output_progress(std::size_t bytes) {
  this->taken_since_progress += bytes;
  if (this->memory != nullptr && this->taken_since_progress >= impl::min_output_progress) {
    this->taken_since_progress = 0;
    this->memory->note_progress(this->unread_response);
  }
}

std::size_t caller_connection::unsent_bytes() const noexcept {
  return std::accumulate(this->pending.begin(), this->pending.end(),
                         this->outgoing.size() - this->outgoing_written,
                         [](std::size_t sum, const auto& exchange) { return sum + exchange->output.size(); });
}

connection_standing caller_connection::standing() {
  const auto now = this->clock.now();
  const bool is_lingering = this->phase == connection_phase::lingering;
  const bool is_responding = is_lingering ? this->has_undelivered_output() : this->write_active;
  if (this->phase == connection_phase::closed || (is_lingering && !is_responding)) {
    return connection_standing::answered;
  }
  if (is_responding && now - this->standing_since() > impl::stall_time) {
    return connection_standing::stalled_response;
  }
  if (!this->pending.empty() || is_responding) {
    return connection_standing::in_service;
  }
  if (!this->has_partial_request()) {
    return connection_standing::idle;
  }
  return now - this->standing_since() > impl::stall_time ? connection_standing::stalled_request
                                                         : connection_standing::arriving_request;
}

time_point caller_connection::standing_since() const noexcept {
  if (this->write_active) {
    return this->memory == nullptr ? this->last_activity : this->unread_response.last_progress();
  }
  return this->has_partial_request() && this->pending.empty()
             ? std::max(this->request_started, this->partial_request.last_progress())
             : this->last_activity;
}

}  // namespace zinnia
