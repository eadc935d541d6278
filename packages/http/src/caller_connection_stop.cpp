// How a connection stops: what becomes of requests of which only a part has been read.
#include <utility>

#include "zinnia/http/caller_connection.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Callers allow a new connection as long; its first request comes soon after.
constexpr duration first_request_time{1000};

}  // namespace
}  // namespace impl

void caller_connection::stop_reading() {
  if (this->phase != connection_phase::open) {
    return;
  }
  this->draining = true;
  if (!this->input_ended && this->input.size() < max_input_bytes) {
    // What has arrived by now counts as sent before the stop.
    this->read_available();
  }
  this->reading_stopped = true;
  if (this->awaits_first_request()) {
    return;
  }
  if (!this->has_partial_request() || this->is_partial_request_unread()) {
    this->end_input();
  }
  this->close_if_idle();
}

bool caller_connection::awaits_first_request() const noexcept {
  return this->phase == connection_phase::open && !this->has_carried_request && !this->input_ended &&
         this->clock.now() - this->accepted_at <= impl::first_request_time;
}

bool caller_connection::is_partial_request_unread() const noexcept {
  return this->draining && !this->pending.empty() &&
         (!this->pending.back()->head_written || this->pending.back()->closes_connection);
}

void caller_connection::recheck_partial_request() {
  const bool is_head_read = this->parser && this->parser->is_header_done();
  if (is_head_read && this->partial_requests.is_refused &&
      this->partial_requests.is_refused(this->parser->head(), this->request_started)) {
    this->refuse_partial_request();
  }
}

void caller_connection::refuse_partial_request() {
  if (this->phase != connection_phase::open || this->input_ended || !this->has_partial_request() ||
      this->is_partial_request_unread() || !this->partial_requests.refuse) {
    return;
  }
  request_head head;
  if (this->parser && this->parser->is_header_done()) {
    head = this->parser->take_head();
  }
  head.keep_alive = false;
  this->end_input();
  this->refused_early = true;
  auto exchange = std::make_shared<caller_exchange>(this->shared_from_this(), std::move(head), std::string{},
                                                    this->request_started, this->clock.now());
  this->pending.push_back(exchange);
  this->partial_requests.refuse(exchange);
}

}  // namespace zinnia
