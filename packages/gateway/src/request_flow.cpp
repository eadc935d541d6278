// Handles one request: placement, attempts, retries and the forwarded response.
#include "request_flow.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <chrono>

#include "request_fingerprint.hpp"
#include "statement_decoding.hpp"
#include "zinnia/core/rendezvous.hpp"
#include "zinnia/http/free_memory.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Bytes of a response body that are held back before the first are forwarded. Until then, a response that
/// breaks off can be replaced by another server's.
constexpr std::size_t max_held_response_bytes = 64 << 10;
/// Time in ms that a queued request waits beyond the expected wait before it is placed again.
constexpr duration overdue_slack{40};

/// Retry-After, in ms, if neither this node nor a peer reaches the backend servers: about the time in which
/// nodes hear of peers that do.
constexpr duration links_lost_retry_after{500};

constexpr int status_misdirected = 421;
constexpr int status_bad_gateway = 502;

}  // namespace
}  // namespace impl

request_flow::request_flow(gateway& owner_in, wait_ticket ticket_in,
                           std::shared_ptr<caller_exchange> exchange_in,
                           std::shared_ptr<const routing_snapshot> snapshot_in, const route& route_in,
                           const forwarded_request* forwarded_in, std::optional<account_identity> identity_in)
    : owner{owner_in},
      ticket{ticket_in},
      exchange{std::move(exchange_in)},
      snapshot{std::move(snapshot_in)},
      matched_route{route_in},
      forwarded{forwarded_in == nullptr ? std::nullopt : std::optional{*forwarded_in}},
      identity{std::move(identity_in)},
      max_attempts{route_in.max_attempts},
      idempotent{is_repeatable(route_in.kind, this->exchange->head().method)},
      arrived_at{forwarded_in == nullptr ? this->exchange->received_at() : this->exchange->started_at()},
      deadline_timer{owner_in.context},
      held_charge{owner_in.options.memory} {
  const auto& fields = this->exchange->head().fields;
  const auto& field_names = this->owner.options.field_names;
  this->request_id = std::string{find_field(fields, field_names.request_id).value_or("")};
  if (this->forwarded) {
    this->max_attempts = std::min(this->max_attempts, this->forwarded->attempts_left);
    this->tried_backends = this->forwarded->tried;
    ++this->owner.forwarded_in_flight;
  }
  // The caller's time runs from the first byte that it sends, however long the body takes.
  this->deadline =
      this->owner.deadline_of(this->exchange->head(), this->matched_route, this->exchange->started_at());
  this->own_deadline = this->deadline;
  if (this->owner.answer_by) {
    this->deadline = std::min(this->deadline, *this->owner.answer_by);
  }
  this->exchange->set_deadline(this->own_deadline);
  const auto key = find_field(fields, field_names.object_key);
  this->fingerprint = fingerprint_of(this->exchange->head(), this->exchange->body().blocks(), key);
  if (this->matched_route.sticky && key) {
    this->object_hash =
        stable_hash(absl::StrCat(this->matched_route.prefix, absl::string_view{key->data(), key->size()}));
  }
}

void request_flow::start() {
  this->choose_service();
  const auto self = this->shared_from_this();
  this->exchange->on_disconnect = [self] { self->on_caller_left(); };
  this->start_deadline_timer(this->time_left());
  if (this->matched_route.kind == request_kind::download) {
    this->exchange->set_may_break();
  }
  if (this->idempotent && !this->exchange->is_behind_breakable_response()) {
    this->admit_and_place();
    return;
  }
  // A non-idempotent request waits until the earlier responses on its connection are complete. If one of them
  // closed the connection, the caller would send this request again although it may have run. Any request
  // waits behind a response that may break off, which would close the connection without its own response.
  this->exchange->when_first_in_pipeline([self] {
    if (!self->closed) {
      self->admit_and_place();
    }
  });
}

void request_flow::choose_service() {
  const auto& destinations = this->matched_route.destinations;
  const auto is_chosen = [&](const weighted_destination& destination) {
    return this->forwarded && destination.service == this->forwarded->service;
  };
  const auto chosen = std::find_if(destinations.begin(), destinations.end(), is_chosen);
  this->service =
      chosen == destinations.end() ? this->owner.split.pick(this->matched_route) : chosen->service;
  if (!this->forwarded) {
    // The node that forwards a request has counted it.
    this->owner.retry_limiter_for(this->service)
        .on_request(this->owner.options.retry_budget, this->owner.clock.now());
  }
}

void request_flow::start_deadline_timer(std::chrono::milliseconds after) {
  this->deadline_timer.expires_after(after);
  this->deadline_timer.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code& stopped) {
        if (!stopped) {
          self->on_deadline();
        }
      });
}

void request_flow::place_request() {
  if (this->refuse_if_quarantined() || this->refuse_without_access() || this->refuse_if_stopping()) {
    return;
  }
  const auto now = this->owner.clock.now();
  if (this->owner.links.is_lost(now)) {
    this->forward_to_peer(reason::links_lost, impl::links_lost_retry_after);
    return;
  }
  placement_request request;
  request.matched_route = &this->matched_route;
  request.regions = this->allowed_regions();
  request.priority = this->priority();
  request.share = this->fair_share_of_account();
  request.service = this->service;
  request.object = this->object_hash;
  request.repeatable = this->idempotent;
  request.request_hash = stable_hash(this->request_id);
  request.deadline = this->deadline;
  request.tried = &this->tried_backends;
  this->decision = this->owner.choose_backend(request, now);
  this->placed_at = now;
  switch (this->decision.action) {
    case placement_action::send:
      this->send();
      return;
    case placement_action::wait:
      this->queued = true;
      this->decision.target->queue.push(
          {this->ticket, request.priority, this->arrived_at,
           now + (this->decision.expected_total - this->decision.expected_work) + impl::overdue_slack,
           request.share});
      return;
    case placement_action::refuse:
      if (this->is_cut_short_by_stop()) {
        this->end_for_stop();
      } else if (this->owner.links.state() == link_condition::half_open) {
        this->forward_to_peer(this->decision.refusal_reason, this->decision.retry_after);
      } else if (this->run_verdict == verdict::did_not_run) {
        this->refuse(this->decision.refusal_reason, this->decision.retry_after);
      } else {
        this->fail(impl::status_bad_gateway, this->decision.refusal_reason);
      }
      return;
  }
}

void request_flow::send_waiting() {
  this->queued = false;
  this->queue_wait = this->queue_wait + (this->owner.clock.now() - this->placed_at);
  if (this->owner.links.is_lost(this->owner.clock.now())) {
    this->place_request();
    return;
  }
  if (!this->refuse_without_access()) {
    this->send();
  }
}

void request_flow::reassign() {
  this->queued = false;
  this->queue_wait = this->queue_wait + (this->owner.clock.now() - this->placed_at);
  this->place_request();
}

void request_flow::send() {
  const auto& target = this->decision.target;
  auto* const pool = this->owner.pool_for(*target);
  // Half-open links take no new connections.
  const bool may_use_pool =
      pool != nullptr && (this->owner.links.state() != link_condition::half_open || pool->has_reusable());
  this->connection =
      may_use_pool ? pool->acquire(this->owner.connection_limit(*target), this->request_id) : nullptr;
  if (this->connection == nullptr) {
    this->tried_backends.push_back(target->declared().id);
    this->place_request();
    return;
  }
  this->sent_at = this->owner.clock.now();
  this->crash_level = this->owner.crashes.level(
      this->fingerprint, this->owner.backends.settings_of(this->service).crash_quarantine, this->sent_at);
  this->owner.counts.add(counter::limited_sends, target->rate_limit() ? 1 : 0);
  this->owner.backends.record_send(this->decision, this->service, this->object_hash, this->sent_at);
  ++this->sent_count;
  this->response = {};
  this->free_held_body();
  this->response_bytes = 0;
  const auto path =
      std::string_view{this->exchange->head().target}.substr(this->matched_route.stripped_prefix_length);
  this->owner.links.on_sent(target->hash(), this->sent_at);
  this->connection->start(this->build_call(path, this->make_backend_fields(target->declared().id)), *this);
}

void request_flow::on_head(const response_head& head) {
  this->response = head;
  if (this->peer) {
    // The peer has applied the server's statements.
    return;
  }
  this->owner.links.on_life(this->owner.clock.now());
  this->owner.crashes.on_response(this->decision.target->hash());
  if (this->connection->connect_time()) {
    this->owner.links.on_connected();
  }
  if (head.status == impl::status_misdirected) {
    // Another instance now has the address and speaks of itself.
    return;
  }
  const auto& field_names = this->owner.options.field_names;
  auto& target = *this->decision.target;
  auto statement = decode_statement(head, field_names, target.declared().id);
  const bool is_signed = find_field(head.fields, field_names.response_stamp).has_value() ||
                         find_field(head.fields, field_names.did_not_run).has_value();
  if (!is_signed) {
    // What an unsigned response leaves out says nothing.
    statement.load.reset();
    statement.names_no_rate_limit = false;
  }
  this->owner.apply_statement(target, statement);
}

void request_flow::on_body(std::string_view piece) {
  this->response_bytes += piece.size();
  if (!this->peer) {
    this->owner.links.on_life(this->owner.clock.now());
  }
  this->owner.counts.add(counter::answer_bytes, piece.size());
  if (this->committed) {
    this->exchange->write(piece);
  } else {
    this->held_body += piece;
    this->held_charge.resize(this->held_body.capacity());
  }
  if (!this->committed && this->held_body.size() > impl::max_held_response_bytes) {
    const auto attempt = this->classify_head();
    if (!attempt.can_forward) {
      // The rest of the response would be of no use.
      this->connection->cancel();
      this->on_end({false, attempt.run_verdict, attempt.failure_reason, true});
      return;
    }
    this->exchange->set_may_break();
    this->commit();
  }
  if (this->committed && this->connection != nullptr && this->exchange->is_congested()) {
    this->connection->set_paused(true);
    this->exchange->on_writable = [self = this->shared_from_this()] {
      if (self->connection != nullptr) {
        self->connection->set_paused(false);
      }
    };
  }
}

void request_flow::commit() {
  this->committed = true;
  this->exchange->begin(this->make_forwarded_head());
  this->exchange->write(this->held_body);
  this->free_held_body();
}

void request_flow::free_held_body() {
  free_memory(this->held_body);
  this->held_charge.resize(0);
}

void request_flow::forward_response() {
  if (!this->committed) {
    if (this->response.content_length) {
      this->commit();
    } else {
      auto head = this->make_forwarded_head();
      head.content_length = this->held_body.size();
      this->committed = true;
      this->exchange->begin(head);
      this->exchange->write(this->held_body);
      this->free_held_body();
    }
  }
  this->exchange->finish();
}

void request_flow::record_attempt(const attempt_result& attempt, duration took) {
  constexpr double bytes_per_kib = 1024;
  const bool is_link_failure =
      attempt.outcome == backend_outcome::no_response || attempt.outcome == backend_outcome::unreachable;
  if (is_link_failure && this->owner.has_link_trouble()) {
    this->decision.target->on_abandoned();
    return;
  }
  this->owner.backends.record_attempt(
      {this->matched_route, this->service, this->decision, this->object_hash, attempt.outcome, took,
       static_cast<double>(this->response_bytes) / bytes_per_kib},
      this->owner.clock.now());
}

void request_flow::on_end(const backend_call_result& end) {
  // Keeps this object alive: `close` removes it from the gateway, which may hold the last other reference.
  const auto self = this->shared_from_this();
  if (this->peer) {
    this->on_peer_end(end);
    return;
  }
  const auto target = this->decision.target;
  const auto attempt = classify_attempt(end, this->response, this->owner.options.field_names);
  const auto took = this->owner.clock.now() - this->sent_at;
  if (const auto connected = this->connection->connect_time()) {
    this->owner.backends.record_round_trip(*target, *connected);
  }
  this->owner.release_connection(*target, std::exchange(this->connection, nullptr));
  this->note_link_result(end);
  this->owner.counts.record(timing::backend, took);
  const bool is_blocked = end.connection_refused && this->owner.has_open_connection(*target);
  if (is_blocked) {
    target->on_abandoned();
  } else {
    this->record_attempt(attempt, took);
  }
  this->run_verdict = combine(this->run_verdict, attempt.run_verdict);
  if (attempt.outcome == backend_outcome::responded) {
    this->owner.crashes.on_answered(this->fingerprint, this->owner.clock.now());
    this->owner.publish_crashes(true);
  } else if (attempt.outcome == backend_outcome::no_response) {
    this->owner.on_request_lost(*target, {this->fingerprint, this->crash_level, this->sent_at});
  } else if (end.connection_refused) {
    this->owner.on_backend_refused(*target);
  }
  absl::StrAppend(
      &this->attempt_history, this->attempt_history.empty() ? "" : " ", target->declared().id.str(), "=",
      std::string{attempt.failure_reason == reason::none ? "ok" : to_string(attempt.failure_reason)}, "/",
      took.ms, "ms");
  if (attempt.outcome == backend_outcome::unreachable) {
    --this->sent_count;
    ++this->connect_failures;
  } else {
    this->reached_backends.push_back(target->declared().id);
  }
  if (this->committed && !end.complete) {
    this->exchange->abort();
    this->close(this->response.status, attempt.failure_reason);
  } else if (attempt.can_retry && !this->committed && this->try_retry(attempt)) {
    this->owner.counts.record_retry(attempt.failure_reason);
    this->retry();
  } else if (end.complete && attempt.can_forward) {
    this->forward_response();
    this->close(this->response.status, attempt.failure_reason);
  } else if (attempt.outcome == backend_outcome::unreachable &&
             this->owner.links.state() != link_condition::up) {
    // It is not known yet whether the servers or the links fail; a peer's links are others.
    this->forward_to_peer(attempt.failure_reason, impl::links_lost_retry_after);
  } else {
    this->end_without_response(attempt.failure_reason);
  }
  if (!this->owner.backends.is_in_use(*target, this->owner.clock.now())) {
    this->owner.reassign_waiting(target);
  }
  this->owner.dispatch_waiting(target);
}

void request_flow::note_link_result(const backend_call_result& end) {
  const auto now = this->owner.clock.now();
  const auto backend = this->decision.target->hash();
  if (!end.complete && this->response.status == 0) {
    this->owner.links.on_failed(backend, end.failure_reason == reason::connect_failed, now);
  }
  this->owner.links.on_ended(backend, now);
}

}  // namespace zinnia
