// Hands a request to a peer while the links to the backend servers are lost.
#include <absl/strings/str_cat.h>

#include <utility>

#include "request_flow.hpp"
#include "zinnia/core/rendezvous.hpp"
#include "zinnia/gateway/forwarding_limits.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int status_bad_gateway = 502;

}  // namespace
}  // namespace impl

peer_request request_flow::wanted_peer() const {
  return {this->allowed_regions(), &this->tried_peers,
          stable_hash(absl::StrCat(this->request_id, "/", this->tried_peers.size()))};
}

void request_flow::forward_to_peer(reason why, duration retry_after) {
  if (this->refuse_without_access()) {
    return;
  }
  std::optional<peer_forwarding::lent_connection> lent;
  const int attempts_left = this->max_attempts - this->sent_count;
  if (!this->forwarded && attempts_left > 0 && this->tried_peers.size() < max_peers_tried) {
    lent = this->owner.peers->acquire(this->wanted_peer());
  }
  if (!lent) {
    if (!this->forwarded && this->tried_peers.empty() && this->owner.peers->has_peer(this->wanted_peer())) {
      // All connections to the peers are in use.
      why = reason::peer_busy;
    }
    if (this->run_verdict == verdict::did_not_run) {
      this->refuse(why, retry_after);
    } else {
      this->fail(impl::status_bad_gateway, why);
    }
    return;
  }
  this->peer = lent->peer;
  this->connection = std::move(lent->connection);
  this->tried_peers.push_back(lent->peer);
  this->owner.counts.add(counter::requests_forwarded, this->tried_peers.size() == 1 ? 1 : 0);
  this->sent_at = this->owner.clock.now();
  this->response = {};
  this->free_held_body();
  this->response_bytes = 0;
  const auto fields = encode_hop_fields({this->owner.options.self, this->snapshot->version, this->service,
                                         attempts_left, this->reached_backends, this->identity});
  auto call = this->build_call(this->exchange->head().target, fields);
  call.is_relayed = true;
  this->connection->start(std::move(call), *this);
}

void request_flow::release_peer(peer_forwarding::ending how, std::string_view noted) {
  const auto id = *std::exchange(this->peer, std::nullopt);
  this->owner.peers->release({id, std::exchange(this->connection, nullptr)}, how);
  absl::StrAppend(&this->attempt_history, this->attempt_history.empty() ? "" : " ", "via:", id.str(), "=",
                  absl::string_view{noted.data(), noted.size()}, "/",
                  (this->owner.clock.now() - this->sent_at).ms, "ms");
}

void request_flow::on_peer_end(const backend_call_result& end) {
  const auto result = classify_peer_call(end, this->response, this->owner.options.field_names);
  // A peer that does not know one account's key still serves the others.
  const bool refuses_all = result.can_try_other_peer && result.failure_reason != reason::unknown_key;
  this->release_peer(result.unreachable ? peer_forwarding::ending::unreachable
                     : refuses_all      ? peer_forwarding::ending::refused
                                        : peer_forwarding::ending::answered,
                     result.failure_reason == reason::none ? "ok" : to_string(result.failure_reason));
  this->run_verdict = combine(this->run_verdict, result.run_verdict);
  this->sent_count += result.sent_count;
  if (this->committed && !end.complete) {
    this->exchange->abort();
    this->close(this->response.status, result.failure_reason);
  } else if (end.complete && result.can_forward) {
    this->forward_response();
    this->close(this->response.status, result.failure_reason);
  } else if (result.can_try_other_peer) {
    this->forward_to_peer(result.failure_reason, result.retry_after);
  } else {
    this->end_after_peer(result);
  }
}

void request_flow::end_after_peer(const peer_result& result) {
  if (this->run_verdict == verdict::did_not_run) {
    this->respond_unavailable(result.failure_reason, result.retry_after);
    return;
  }
  constexpr int status_gateway_timeout = 504;
  const bool timed_out = this->response.status == status_gateway_timeout;
  this->fail(timed_out ? status_gateway_timeout : impl::status_bad_gateway, result.failure_reason);
}

void request_flow::leave_lost_links() {
  if (this->closed || this->peer) {
    return;
  }
  if (this->queued) {
    this->leave_queue();
    this->reassign();
    return;
  }
  const bool has_response = this->response.status != 0;
  if (!this->has_active_call() || has_response) {
    return;
  }
  const bool may_have_run = !this->connection->is_connecting();
  if (may_have_run && !this->idempotent) {
    return;
  }
  if (!may_have_run) {
    --this->sent_count;
    this->abandon_call();
    this->place_request();
    return;
  }
  this->reached_backends.push_back(this->decision.target->declared().id);
  this->run_verdict = combine(this->run_verdict, verdict::may_have_run);
  this->abandon_call();
  const auto now = this->owner.clock.now();
  const bool may_repeat = !this->forwarded && now < this->deadline && this->sent_count < this->max_attempts &&
                          this->owner.peers->has_peer(this->wanted_peer()) &&
                          this->owner.try_consume_retry(this->service);
  if (!may_repeat) {
    this->fail(impl::status_bad_gateway, reason::links_lost);
    return;
  }
  this->owner.counts.record_retry(reason::links_lost);
  this->place_request();
}

attempt_result request_flow::classify_head() const {
  const auto& field_names = this->owner.options.field_names;
  if (!this->peer) {
    return classify_response(this->response, field_names);
  }
  const auto result = classify_peer_response(this->response, field_names);
  attempt_result attempt;
  attempt.run_verdict = result.run_verdict;
  attempt.failure_reason = result.failure_reason;
  attempt.can_forward = result.can_forward;
  return attempt;
}

response_head request_flow::make_forwarded_head() const {
  response_head head = this->response;
  head.fields = end_to_end_fields(this->response.fields, hop_field_names());
  if (this->forwarded) {
    for (auto& field : encode_hop_fields({verdict::ran, reason::none, this->sent_count})) {
      head.fields.push_back(std::move(field));
    }
  }
  return head;
}

}  // namespace zinnia
