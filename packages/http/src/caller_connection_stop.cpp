// How a connection stops: what becomes of requests of which only a part has been read.
#include <utility>

#include "zinnia/http/caller_connection.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Callers allow a new connection as long; its first request comes soon after.
constexpr duration first_request_time{1000};
constexpr int status_unavailable = 503;

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
  if (!is_head_read || !this->partial_requests.refusal) {
    return;
  }
  if (const auto why = this->partial_requests.refusal(this->parser->head(), this->request_started)) {
    this->refuse_partial_request(*why);
  }
}

void caller_connection::refuse_partial_request(reason why) {
  if (this->phase != connection_phase::open || this->input_ended) {
    return;
  }
  if (const auto exchange = this->end_partial_request()) {
    this->respond_refused(exchange, why);
  }
}

std::shared_ptr<caller_exchange> caller_connection::end_partial_request() {
  if (this->is_partial_request_unread()) {
    this->end_input();
    return nullptr;
  }
  request_head head;
  if (this->parser && this->parser->is_header_done()) {
    head = this->parser->take_head();
  }
  head.keep_alive = false;
  this->end_input();
  this->refused_early = true;
  auto exchange = std::make_shared<caller_exchange>(this->shared_from_this(), std::move(head), body_buffer{},
                                                    this->request_started, this->clock.now());
  this->pending.push_back(exchange);
  return exchange;
}

void caller_connection::respond_refused(const std::shared_ptr<caller_exchange>& exchange, reason why) {
  if (this->partial_requests.refuse) {
    this->partial_requests.refuse(exchange, why);
  } else {
    exchange->respond(impl::status_unavailable, {{"Retry-After", "1"}}, "");
  }
}

}  // namespace zinnia
