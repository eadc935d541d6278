// Long polling with one HTTP call at a time.
#include "change_relay_client.hpp"

#include "zinnia/store/change_log.hpp"
#include "zinnia/store/change_relay_codec.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How long a source may hold a call. Missing heartbeats reveal a failed source earlier than this.
constexpr duration max_hold_time{1500};
/// Allowance for the round trip within a failure domain, including one retransmitted packet.
constexpr duration round_trip_allowance{400};
/// The same where this node needs proofs that its configuration is current: the proof in an answer counts
/// from the time of the poll.
constexpr duration max_confirming_hold_time{500};
/// With the shorter wait a source may be in another region: a connection and a call take two round trips of
/// 110 ms each, and sources check held requests only every 250 ms.
constexpr duration far_round_trip_allowance{1000};
/// Minimum time between the starts of two calls. One call collects the changes of this time, and a source
/// that cannot relay all kinds yet is not polled continuously.
constexpr duration poll_interval{150};
constexpr long status_ok = 200;

}  // namespace
}  // namespace impl

void change_relay_client::set_source(const std::optional<member>& source_in) {
  const bool is_same = this->source && source_in && *this->source == *source_in;
  if (is_same || (!this->source && !source_in)) {
    return;
  }
  if (this->call_active) {
    this->calls.cancel(this->call);
    this->call_active = false;
  }
  this->source = source_in;
  this->earliest_poll = {};
}

time_point change_relay_client::next_poll_at() const noexcept {
  return this->source && !this->call_active ? this->earliest_poll : far_future;
}

void change_relay_client::poll(time_point now, bool may_hold) {
  if (!this->source || this->call_active || now < this->earliest_poll) {
    return;
  }
  const auto max_hold = this->needs_confirmation ? impl::max_confirming_hold_time : impl::max_hold_time;
  const auto hold_time = may_hold ? max_hold : duration{0};
  http_call request;
  this->named_versions = this->handlers.known_versions();
  request.url = "http://" + this->source->peer_address.str() + change_relay_path +
                "?known=" + encode_versions(this->named_versions) +
                "&wait_ms=" + std::to_string(hold_time.ms);
  request.timeout =
      hold_time + (this->needs_confirmation ? impl::far_round_trip_allowance : impl::round_trip_allowance);
  this->polled_at = now;
  this->earliest_poll = now + impl::poll_interval;
  this->call_active = true;
  this->call =
      this->calls.start(request, [this](const http_response& response) { this->on_response(response); });
}

void change_relay_client::on_response(const http_response& response) {
  this->call_active = false;
  if (response.status != impl::status_ok) {
    this->handlers.on_source_failure(response.status == 0 ? response.failure_reason
                                                          : "status " + std::to_string(response.status));
    return;
  }
  const auto changes = decode_relayed_changes(response.body);
  if (!changes) {
    this->handlers.on_source_failure(changes.last_error().describe());
    return;
  }
  auto replies = *changes;
  reject_late_replies(replies, this->named_versions, this->handlers.known_versions());
  std::optional<confirmed_configuration> confirmation;
  if (const auto stated = decode_relayed_confirmation(response.body)) {
    confirmation = {stated->version, this->polled_at - stated->age};
  }
  this->handlers.on_changes(replies, confirmation);
}

}  // namespace zinnia
