// Held requests, with one timer for all of them.
#include "change_relay_server.hpp"

#include <algorithm>
#include <chrono>

#include "change_relay_client.hpp"
#include "peer_state_exchange.hpp"
#include "zinnia/store/change_relay_codec.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How often held requests are checked for the end of their wait time.
constexpr std::chrono::milliseconds hold_check_period{250};
/// Upper limit on the wait time that a request asks for.
constexpr duration max_hold_time{10'000};
constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

}  // namespace
}  // namespace impl

void change_relay_server::handle(const std::shared_ptr<caller_exchange>& exchange) {
  const auto& head = exchange->head();
  if (head.path() == peer_state_path) {
    this->respond_with_state(*exchange);
    return;
  }
  if (head.path() != change_relay_path) {
    exchange->respond(impl::status_not_found, {}, "");
    return;
  }
  const auto known = decode_versions(head.query_parameter("known").value_or(""));
  const auto wait = parse_number(head.query_parameter("wait_ms").value_or(""));
  if (!known || !wait) {
    exchange->respond(impl::status_bad_request, {}, "known: versions, wait_ms: a number\n");
    return;
  }
  const auto hold_time = std::min(duration{*wait}, impl::max_hold_time);
  held_request request{exchange, *known, this->clock.now() + hold_time};
  if (this->try_respond(request)) {
    return;
  }
  this->held_requests.push_back(std::move(request));
  exchange->on_disconnect = [this, disconnected = exchange.get()] {
    this->held_requests.remove_if(
        [disconnected](const held_request& held) { return held.exchange.get() == disconnected; });
  };
  this->start_timer();
}

void change_relay_server::respond_with_state(caller_exchange& exchange) const {
  const auto known = parse_number(exchange.head().query_parameter("configuration").value_or(""));
  if (!known || *known < 0) {
    exchange.respond(impl::status_bad_request, {}, "configuration: a number\n");
    return;
  }
  const auto state = this->changes.state();
  if (state == nullptr) {
    exchange.respond(impl::status_unavailable, {}, "");
    return;
  }
  exchange.respond(impl::status_ok, {{"Content-Type", "application/octet-stream"}},
                   encode_retained_state(*state, static_cast<std::uint64_t>(*known), this->clock.now()));
}

bool change_relay_server::try_respond(const held_request& request) const {
  if (!this->changes.is_watching()) {
    request.exchange->respond(impl::status_unavailable, {}, "");
    return true;
  }
  const auto answer = this->changes.answer_to(request.known, this->clock.now());
  if (!answer) {
    request.exchange->respond(impl::status_bad_request, {}, "known: one version for each kind of object\n");
    return true;
  }
  const auto& kinds = answer->kinds;
  const bool has_changes = std::any_of(kinds.begin(), kinds.end(), [](const feed_reply& reply) {
    return reply.status != feed_status::ok || !reply.changes.empty();
  });
  if (!has_changes && this->clock.now() < request.deadline) {
    return false;
  }
  request.exchange->respond(impl::status_ok, {{"Content-Type", "application/octet-stream"}},
                            encode_relayed_changes(kinds, answer->confirmation));
  return true;
}

void change_relay_server::respond_to_held_requests() {
  this->held_requests.remove_if([this](const held_request& request) { return this->try_respond(request); });
}

void change_relay_server::start_timer() {
  if (this->timer_active || this->held_requests.empty()) {
    return;
  }
  this->timer_active = true;
  this->timer.expires_after(impl::hold_check_period);
  this->timer.async_wait([this](const boost::system::error_code& problem) {
    this->timer_active = false;
    if (!problem) {
      this->respond_to_held_requests();
      this->start_timer();
    }
  });
}

}  // namespace zinnia
