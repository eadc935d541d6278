// How a request ends: refusals, failures, the deadline, a caller that leaves, and the request's record.
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "request_flow.hpp"
#include "zinnia/core/rendezvous.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Interval between checks of a response that the caller is still reading after the deadline.
constexpr std::chrono::milliseconds late_read_check_period{250};
/// Retry-After, in ms, if no attempt ran, for instance because a server had no room: about the time that one
/// request takes.
constexpr duration shed_retry_after{100};
/// Largest Retry-After as a fraction of the request's remaining time; callers ignore longer waits.
constexpr double max_retry_after_fraction = 0.3;

/// A server that has sent no part of a response for that long may have crashed without closing connections.
constexpr duration silence_of_crashed{300};

constexpr int status_bad_gateway = 502;
constexpr int status_gateway_timeout = 504;

}  // namespace
}  // namespace impl

bool request_flow::refuse_if_quarantined() {
  const auto left = this->owner.crashes.quarantine_left(
      this->fingerprint, this->owner.backends.settings_of(this->service).crash_quarantine,
      this->owner.clock.now());
  if (left <= duration{0}) {
    return false;
  }
  if (this->run_verdict == verdict::did_not_run) {
    this->leave_queue();
    this->respond_unavailable(reason::request_quarantined, left);
  } else {
    this->fail(impl::status_bad_gateway, reason::request_quarantined);
  }
  return true;
}

std::optional<lost_request> request_flow::unanswered_at(std::uint64_t backend) const {
  const bool is_at_server = this->has_active_call() && !this->peer && !this->connection->is_connecting() &&
                            this->response.status == 0 && this->decision.target->hash() == backend;
  return is_at_server ? std::optional{lost_request{this->fingerprint, this->crash_level, this->sent_at}}
                      : std::nullopt;
}

header_fields request_flow::make_own_fields(reason why) const {
  header_fields fields;
  if (!this->request_id.empty()) {
    fields.push_back({this->owner.options.field_names.request_id, this->request_id});
  }
  if (this->forwarded) {
    for (auto& field : encode_hop_fields({this->run_verdict, why, this->sent_count})) {
      fields.push_back(std::move(field));
    }
  }
  return fields;
}

void request_flow::end_without_response(reason why) {
  if (this->run_verdict == verdict::did_not_run) {
    this->refuse(why, impl::shed_retry_after);
  } else {
    this->fail(impl::status_bad_gateway, why);
  }
}

void request_flow::refuse(reason why, duration retry_after) {
  this->leave_queue();
  const auto left = this->deadline - this->owner.clock.now();
  const auto max_wait =
      static_cast<std::int64_t>(static_cast<double>(left.ms) * impl::max_retry_after_fraction);
  const auto wait = std::clamp<std::int64_t>(retry_after.ms, 0, std::max<std::int64_t>(max_wait, 0));
  // Spread over 50 % to 148 % by a hash of the request id, so that callers refused together do not retry
  // together.
  constexpr std::uint64_t spread_percent = 50;
  constexpr std::int64_t percent = 100;
  const auto extra = static_cast<std::int64_t>(stable_hash(this->request_id) % spread_percent);
  this->respond_unavailable(
      why, {wait * (percent - static_cast<std::int64_t>(spread_percent) + 2 * extra) / percent});
}

void request_flow::respond_unavailable(reason why, duration retry_after, int status) {
  auto fields = this->make_own_fields(why);
  constexpr double ms_per_second = 1000;
  fields.push_back(
      {"Retry-After", absl::StrFormat("%.3f", static_cast<double>(retry_after.ms) / ms_per_second)});
  this->exchange->respond(status, fields, "");
  this->owner.counts.record_refusal(why);
  this->close(status, why);
}

void request_flow::fail(int status, reason why) {
  this->leave_queue();
  this->exchange->respond(status, this->make_own_fields(why), "");
  this->owner.counts.record_refusal(why);
  this->close(status, why);
}

void request_flow::on_deadline() {
  if (this->closed) {
    return;
  }
  if (this->committed && this->is_cut_short_by_stop()) {
    // What has begun may go on until the process ends.
    this->deadline = this->own_deadline;
    this->start_deadline_timer(this->time_left());
    return;
  }
  if (this->committed && this->exchange->has_unsent_output()) {
    // The caller is still reading what arrived in time. Its connection closes if it makes no progress.
    this->start_deadline_timer(impl::late_read_check_period);
    return;
  }
  if (this->has_active_call()) {
    this->abandon_call();
    this->run_verdict = combine(this->run_verdict, verdict::may_have_run);
    if (this->committed) {
      this->exchange->abort();
      this->close(this->response.status, reason::route_timeout);
      return;
    }
    this->fail(impl::status_gateway_timeout,
               this->is_cut_short_by_stop() ? reason::node_stopping : reason::route_timeout);
    return;
  }
  if (this->is_cut_short_by_stop()) {
    this->end_for_stop();
    return;
  }
  if (this->run_verdict == verdict::did_not_run) {
    this->refuse(reason::deadline_passed, duration{0});
  } else {
    this->fail(impl::status_gateway_timeout, reason::deadline_passed);
  }
}

void request_flow::on_caller_left() {
  if (this->closed) {
    return;
  }
  this->leave_queue();
  if (this->has_active_call() && !this->connection->is_connecting()) {
    this->run_verdict = combine(this->run_verdict, verdict::may_have_run);
  }
  this->abandon_call();
  this->owner.counts.add(counter::caller_closed);
  this->close(0, reason::caller_left);
}

void request_flow::abandon_call() {
  if (!this->has_active_call()) {
    return;
  }
  if (this->peer) {
    this->connection->cancel();
    this->release_peer(peer_forwarding::ending::answered, "cancelled");
    return;
  }
  const auto target = this->decision.target;
  if (this->connection->is_silent(impl::silence_of_crashed, this->owner.clock.now())) {
    this->owner.on_request_given_up(*target, {this->fingerprint, this->crash_level, this->sent_at});
  }
  this->connection->cancel();
  this->owner.release_connection(*target, std::exchange(this->connection, nullptr));
  target->on_abandoned();
  this->owner.links.on_ended(target->hash(), this->owner.clock.now());
  absl::StrAppend(&this->attempt_history, this->attempt_history.empty() ? "" : " ",
                  target->declared().id.str(), "=cancelled");
  this->owner.dispatch_waiting(target);
}

void request_flow::leave_queue() {
  if (this->queued) {
    this->queued = false;
    this->decision.target->queue.remove(this->ticket);
  }
}

void request_flow::close(int status, reason why) {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->release_token();
  this->deadline_timer.cancel();
  const auto took = this->owner.clock.now() - this->arrived_at;
  this->owner.counts.record(timing::request, took);
  if (this->queue_wait.ms > 0) {
    this->owner.counts.record(timing::queue_wait, this->queue_wait);
  }
  this->owner.counts.record_verdict(this->run_verdict);
  const auto record = this->make_record(status, why, took).str();
  const bool served = is_success(status) && why == reason::none;
  log_line{served ? log_level::info : log_level::warn, "request_ended"}.merge(record);
  this->owner.records.add(this->request_id, record);
  // The exchange lives until its caller has taken the response.
  this->exchange->release_body();
  this->owner.forwarded_in_flight -= this->forwarded ? 1 : 0;
  this->owner.flows.erase(this->ticket);
}

json_object request_flow::make_record(int status, reason why, duration took) const {
  constexpr double percent = 100;
  json_object record;
  record.field("request", this->request_id)
      .field("route", this->matched_route.name)
      .field("service", this->service.str())
      .field("priority", this->matched_route.priority)
      .field("object", this->object_hash ? absl::StrCat(absl::Hex(*this->object_hash, absl::kZeroPad16)) : "")
      .field("fingerprint", absl::StrCat(absl::Hex(this->fingerprint.count(), absl::kZeroPad16)))
      .field("status", status)
      .field("verdict", to_string(this->run_verdict))
      .field("reason", to_string(why))
      .field("attempts", this->attempt_history)
      .field("crash_level", this->crash_level)
      .field("forwarded_to", this->tried_peers.empty() ? "" : this->tried_peers.back().str())
      .field("forwarded_from", this->forwarded ? this->forwarded->sender.str() : "")
      .field("took_ms", took.ms)
      .field("waited_ms", this->queue_wait.ms)
      .field("time_left_ms", (this->deadline - this->arrived_at - took).ms)
      .field("placed_on", this->decision.target ? this->decision.target->declared().id.str() : "")
      .field("warmth", static_cast<std::int64_t>(this->decision.expected_warmth))
      .field("load_percent", static_cast<std::int64_t>(this->decision.load * percent))
      .field("expected_ms", this->decision.expected_total.ms)
      .field("candidates", this->decision.candidates)
      .field("config_version", static_cast<std::int64_t>(this->snapshot->version.count()))
      .field("snapshot", static_cast<std::int64_t>(this->snapshot->sequence));
  if (this->has_accounts()) {
    record.field("account", this->identity ? this->identity->id.str() : "")
        .field("account_priority", this->priority().of_account);
  }
  return record;
}

}  // namespace zinnia
