// HTTP calls to other nodes, one for each question.
#include "peer_state_exchange.hpp"

#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Two round trips of the longest link (110 ms each), and a slow node.
constexpr duration state_call_timeout{500};
constexpr long status_ok = 200;

}  // namespace
}  // namespace impl

void peer_state_exchange::begin(time_point now) {
  if (!this->sync.has_begun()) {
    this->sync.begin(this->members.others_in_random_order(), now);
  }
}

void peer_state_exchange::ask_again(time_point now) {
  this->sync.ask_again(this->members.others_in_random_order(), now);
}

void peer_state_exchange::on_heartbeat(const node_heartbeat& heartbeat, const state_summary& own,
                                       time_point now) {
  this->sync.on_heartbeat(heartbeat.id, heartbeat.state, own, now);
}

void peer_state_exchange::issue_calls(time_point now) {
  for (const auto& id : this->sync.take_due(now)) {
    const auto peer = this->members.find(id);
    if (!peer) {
      this->sync.on_reply(id, state_reply::unavailable, now);
      continue;
    }
    http_call request;
    request.url = "http://" + peer->peer_address.str() + peer_state_path +
                  "?configuration=" + std::to_string(this->handlers.configuration_number());
    request.timeout = impl::state_call_timeout;
    this->calls.start(request, [this, id](const http_response& response) {
      this->sync.on_reply(id, this->decode(id, response), this->clock.now());
    });
  }
}

state_reply peer_state_exchange::decode(const node_id& from, const http_response& response) const {
  if (response.status != impl::status_ok) {
    return state_reply::unavailable;
  }
  const auto state = decode_retained_state(response.body, this->clock.now());
  if (!state) {
    log_line{log_level::warn, "peer_state_unreadable"}
        .field("from", from.str())
        .field("cause", state.last_error().describe());
    return state_reply::unavailable;
  }
  return this->handlers.on_state(from, *state);
}

}  // namespace zinnia
