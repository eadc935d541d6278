// The life of one request.
#include "request_flow.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <chrono>

#include "zinnia/core/rendezvous.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Part of an answer that is held back, so that a broken answer can be replaced by that of another server.
constexpr std::size_t held_answer_bytes = 64 << 10;
/// Attempts that may fail to connect, besides those that were sent.
constexpr int most_connect_failures = 2;
/// How much longer than expected a request waits before its place is chosen anew.
constexpr duration review_slack{40};
/// When a caller may come back after a server had no room; about one request's work.
constexpr duration shed_retry_after{100};
/// Part of the time left that a caller is asked to wait at most; callers ignore longer waits.
constexpr double retry_after_part = 0.3;

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;
constexpr int status_gateway_timeout = 504;

[[nodiscard]] std::optional<load_report> parse_load(std::string_view text) {
  const std::vector<absl::string_view> parts =
      absl::StrSplit(absl::string_view{text.data(), text.size()}, ',');
  load_report report;
  constexpr std::size_t part_count = 3;
  if (parts.size() != part_count || !absl::SimpleAtoi(parts[0], &report.running) ||
      !absl::SimpleAtoi(parts[1], &report.waiting) || !absl::SimpleAtoi(parts[2], &report.slots)) {
    return std::nullopt;
  }
  return report;
}

}  // namespace
}  // namespace impl

request_flow::request_flow(gateway& owner_in, wait_ticket ticket_in,
                           std::shared_ptr<caller_exchange> exchange_in,
                           std::shared_ptr<const routing_snapshot> snapshot_in, const route& rule_in)
    : owner{owner_in},
      ticket{ticket_in},
      exchange{std::move(exchange_in)},
      snapshot{std::move(snapshot_in)},
      rule{rule_in},
      repeatable{is_repeatable(rule_in.kind, this->exchange->head().method)},
      arrived{this->exchange->received_at()},
      timer{owner_in.context} {
  const auto& fields = this->exchange->head().fields;
  const auto& dialect = this->owner.options.dialect;
  this->id = std::string{find_field(fields, dialect.request_id).value_or("")};
  this->deadline = this->arrived + this->rule.timeout;
  if (const auto left = find_field(fields, dialect.time_left_ms)) {
    if (const auto ms = parse_number(*left)) {
      this->deadline = std::min(this->deadline, this->arrived + duration{*ms});
    }
  }
  const auto key = find_field(fields, dialect.object_key);
  if (this->rule.sticky && key) {
    this->object = stable_hash(absl::StrCat(this->rule.prefix, absl::string_view{key->data(), key->size()}));
  }
}

void request_flow::start() {
  this->service = this->owner.split.pick(this->rule);
  this->owner.allowances[this->service].on_request(this->owner.options.retry_budget);
  const auto self = this->shared_from_this();
  this->exchange->on_gone = [self] { self->on_caller_left(); };
  const auto left = this->deadline - this->owner.clock.now();
  this->timer.expires_after(std::chrono::milliseconds{std::max<std::int64_t>(left.ms, 0)});
  this->timer.async_wait([self](const boost::system::error_code& stopped) {
    if (!stopped) {
      self->on_deadline();
    }
  });
  if (this->repeatable) {
    this->place();
    return;
  }
  // Were it sent while an earlier answer is due, an answer that closes the connection would make the caller
  // send it again.
  this->exchange->when_first([self] {
    if (!self->closed) {
      self->place();
    }
  });
}

void request_flow::place() {
  const auto now = this->owner.clock.now();
  placement_request request;
  request.matched_route = &this->rule;
  request.service = this->service;
  request.object = this->object;
  request.repeatable = this->repeatable;
  request.request_hash = stable_hash(this->id);
  request.deadline = this->deadline;
  request.tried = &this->tried;
  this->decision = this->owner.table.choose(request, now);
  this->placed_at = now;
  switch (this->decision.action) {
    case placement_action::send:
      this->send();
      return;
    case placement_action::wait:
      this->waiting = true;
      this->decision.target->queue.push(
          {this->ticket, this->rule.priority, this->arrived,
           now + (this->decision.expected_total - this->decision.expected_work) + impl::review_slack});
      return;
    case placement_action::refuse:
      if (this->known == verdict::did_not_run) {
        this->refuse(this->decision.refusal_reason, this->decision.retry_after);
      } else {
        this->fail(impl::status_bad_gateway, this->decision.refusal_reason);
      }
      return;
  }
}

void request_flow::send_waiting() {
  this->waiting = false;
  this->waited = this->waited + (this->owner.clock.now() - this->placed_at);
  this->send();
}

void request_flow::place_again() {
  this->waiting = false;
  this->waited = this->waited + (this->owner.clock.now() - this->placed_at);
  this->place();
}

backend_call request_flow::build_call() const {
  const auto& dialect = this->owner.options.dialect;
  const auto& head = this->exchange->head();
  backend_call call;
  call.is_head_request = head.method == "HEAD";
  if (!this->id.empty()) {
    call.id_field = dialect.request_id;
    call.id = this->id;
  }
  const auto target = std::string_view{head.target}.substr(this->rule.stripped_prefix_length);
  absl::StrAppend(&call.bytes, head.method, " ", absl::string_view{target.data(), target.size()},
                  " HTTP/1.1\r\n");
  append_fields(call.bytes, end_to_end_fields(head.fields, {dialect.time_left_ms, dialect.expected_backend}));
  const auto left = std::max<std::int64_t>((this->deadline - this->owner.clock.now()).ms, 1);
  absl::StrAppend(&call.bytes, dialect.time_left_ms, ": ", left, "\r\n");
  absl::StrAppend(&call.bytes, dialect.expected_backend, ": ", this->decision.target->declared().id.str(),
                  "\r\n");
  const bool has_body = !this->exchange->body().empty() ||
                        (head.method != "GET" && head.method != "HEAD" && head.method != "DELETE");
  if (has_body) {
    absl::StrAppend(&call.bytes, "Content-Length: ", this->exchange->body().size(), "\r\n");
  }
  call.bytes += "\r\n";
  call.bytes += this->exchange->body();
  return call;
}

void request_flow::send() {
  const auto& target = this->decision.target;
  this->connection = this->owner.pool_of(*target).acquire(this->owner.connection_limit(*target));
  if (this->connection == nullptr) {
    this->tried.push_back(target->declared().id);
    this->place();
    return;
  }
  this->sent_at = this->owner.clock.now();
  target->on_sent(this->sent_at);
  ++this->sends;
  this->answer = {};
  this->answer_body.clear();
  this->answer_bytes = 0;
  this->connection->start(this->build_call(), *this);
}

void request_flow::on_head(const response_head& head) {
  this->answer = head;
  if (const auto load = find_field(head.fields, this->owner.options.dialect.backend_load)) {
    if (const auto report = impl::parse_load(*load)) {
      this->decision.target->on_report(*report, this->owner.clock.now());
    }
  }
}

void request_flow::on_body(std::string_view piece) {
  this->answer_bytes += piece.size();
  this->owner.counts.add(counter::answer_bytes, piece.size());
  if (this->committed) {
    this->exchange->write(piece);
  } else {
    this->answer_body += piece;
    if (this->answer_body.size() > impl::held_answer_bytes &&
        judge_answer(this->answer, this->owner.options.dialect).passable) {
      this->commit();
    }
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
  response_head head = this->answer;
  head.fields = end_to_end_fields(this->answer.fields, {});
  this->exchange->begin(head);
  this->exchange->write(this->answer_body);
  this->answer_body.clear();
}

void request_flow::pass_on() {
  if (!this->committed) {
    if (this->answer.length) {
      this->commit();
    } else {
      response_head head = this->answer;
      head.fields = end_to_end_fields(this->answer.fields, {});
      head.length = this->answer_body.size();
      this->committed = true;
      this->exchange->begin(head);
      this->exchange->write(this->answer_body);
    }
  }
  this->exchange->finish();
}

void request_flow::learn(const judgement& judged, duration took) {
  auto& table = this->owner.table;
  const auto& target = *this->decision.target;
  const auto now = this->owner.clock.now();
  this->decision.target->on_ended(judged.outcome, took, this->decision.expected_total, now);
  if (judged.outcome != backend_outcome::responded) {
    return;
  }
  auto& estimate = table.estimate(this->rule, this->service);
  constexpr double bytes_per_kib = 1024;
  estimate.record_response_size(static_cast<double>(this->answer_bytes) / bytes_per_kib);
  if (this->decision.load < target.declared().slots && !target.is_cold(now)) {
    const auto work = static_cast<double>(std::max<std::int64_t>((took - table.round_trip(target)).ms, 1));
    estimate.record_work_time(this->decision.expected_warmth, work);
    table.record_service_time(this->service, work);
  }
  if (this->object) {
    this->decision.target->objects.touch(*this->object, table.settings_of(this->service).remembered_objects);
  }
}

void request_flow::on_end(const backend_call_end& end) {
  // The connection's own reference may be the last one besides this.
  const auto self = this->shared_from_this();
  const auto target = this->decision.target;
  const auto judged = judge_call(end, this->answer, this->owner.options.dialect);
  const auto took = this->owner.clock.now() - this->sent_at;
  if (const auto connected = this->connection->connect_time()) {
    this->owner.table.record_round_trip(*target, *connected);
  }
  this->owner.pool_of(*target).release(std::exchange(this->connection, nullptr));
  this->owner.counts.record(timing::backend, took);
  this->learn(judged, took);
  this->known = combine(this->known, judged.ran);
  absl::StrAppend(&this->history, this->history.empty() ? "" : " ", target->declared().id.str(), "=",
                  std::string{judged.why == reason::none ? "ok" : to_word(judged.why)}, "/", took.ms, "ms");
  if (judged.outcome == backend_outcome::unreachable) {
    --this->sends;
  }
  if (this->committed && !end.complete) {
    this->exchange->abort();
    this->close(this->answer.status, judged.why);
  } else if (judged.worth_repeating && !this->committed && this->try_repeat(judged)) {
    this->owner.counts.retried(judged.why);
    this->place();
  } else if (end.complete && judged.passable) {
    this->pass_on();
    this->close(this->answer.status, judged.why);
  } else {
    this->end_without_answer(judged.why);
  }
  if (target->is_suspended()) {
    this->owner.place_again(target);
  }
  this->owner.pump(target);
}

bool request_flow::try_repeat(const judgement& judged) {
  if (this->known != verdict::did_not_run && !this->repeatable) {
    return false;
  }
  this->tried.push_back(this->decision.target->declared().id);
  const auto now = this->owner.clock.now();
  if (judged.outcome == backend_outcome::unreachable) {
    return static_cast<int>(this->tried.size()) <= this->sends + impl::most_connect_failures;
  }
  return this->sends < this->rule.max_attempts && now < this->deadline &&
         this->owner.allowances[this->service].try_consume(this->owner.options.retry_budget,
                                                           static_cast<int>(this->owner.nodes.all), now);
}

header_fields request_flow::own_fields() const {
  header_fields fields;
  if (!this->id.empty()) {
    fields.push_back({this->owner.options.dialect.request_id, this->id});
  }
  return fields;
}

void request_flow::end_without_answer(reason why) {
  if (this->known == verdict::did_not_run) {
    this->refuse(why, impl::shed_retry_after);
  } else {
    this->fail(impl::status_bad_gateway, why);
  }
}

void request_flow::refuse(reason why, duration retry_after) {
  this->leave_queue();
  const auto left = this->deadline - this->owner.clock.now();
  const auto longest = static_cast<std::int64_t>(static_cast<double>(left.ms) * impl::retry_after_part);
  const auto wait = std::clamp<std::int64_t>(retry_after.ms, 0, std::max<std::int64_t>(longest, 0));
  // Spread by the request's id, so that callers refused together do not return together.
  constexpr std::uint64_t spread_percent = 50;
  constexpr std::int64_t percent = 100;
  const auto extra = static_cast<std::int64_t>(stable_hash(this->id) % spread_percent);
  const auto spread = wait * (percent - static_cast<std::int64_t>(spread_percent) + 2 * extra) / percent;
  auto fields = this->own_fields();
  constexpr double ms_per_second = 1000;
  fields.push_back({"Retry-After", absl::StrFormat("%.3f", static_cast<double>(spread) / ms_per_second)});
  this->exchange->respond(impl::status_unavailable, fields, "");
  this->owner.counts.refused(why);
  this->close(impl::status_unavailable, why);
}

void request_flow::fail(int status, reason why) {
  this->leave_queue();
  this->exchange->respond(status, this->own_fields(), "");
  this->owner.counts.refused(why);
  this->close(status, why);
}

void request_flow::on_deadline() {
  if (this->closed) {
    return;
  }
  if (this->is_sent()) {
    this->abandon_call();
    this->known = combine(this->known, verdict::may_have_run);
    if (this->committed) {
      this->exchange->abort();
      this->close(this->answer.status, reason::route_timeout);
      return;
    }
    this->fail(impl::status_gateway_timeout, reason::route_timeout);
    return;
  }
  if (this->known == verdict::did_not_run) {
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
  this->abandon_call();
  this->owner.counts.add(counter::caller_closed);
  this->close(0, reason::caller_left);
}

void request_flow::abandon_call() {
  if (!this->is_sent()) {
    return;
  }
  const auto target = this->decision.target;
  this->connection->cancel();
  this->owner.pool_of(*target).release(std::exchange(this->connection, nullptr));
  target->on_abandoned();
  absl::StrAppend(&this->history, this->history.empty() ? "" : " ", target->declared().id.str(),
                  "=cancelled");
  this->owner.pump(target);
}

void request_flow::leave_queue() {
  if (this->waiting) {
    this->waiting = false;
    this->decision.target->queue.remove(this->ticket);
  }
}

void request_flow::close(int status, reason why) {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->timer.cancel();
  const auto took = this->owner.clock.now() - this->arrived;
  this->owner.counts.record(timing::request, took);
  if (this->waited.ms > 0) {
    this->owner.counts.record(timing::queue_wait, this->waited);
  }
  this->owner.counts.ended(this->known);
  const auto record = this->make_record(status, why, took).str();
  const bool served = is_success(status) && why == reason::none;
  log_line{served ? log_level::info : log_level::warn, "request_ended"}.merge(record);
  this->owner.records.add(this->id, record);
  this->owner.body_bytes -= this->exchange->body().size();
  this->owner.flows.erase(this->ticket);
}

json_object request_flow::make_record(int status, reason why, duration took) const {
  constexpr double percent = 100;
  json_object record;
  record.field("request", this->id)
      .field("route", this->rule.name)
      .field("service", this->service.str())
      .field("priority", this->rule.priority)
      .field("object", this->object ? absl::StrCat(absl::Hex(*this->object, absl::kZeroPad16)) : "")
      .field("status", status)
      .field("verdict", to_word(this->known))
      .field("reason", to_word(why))
      .field("attempts", this->history)
      .field("took_ms", took.ms)
      .field("waited_ms", this->waited.ms)
      .field("time_left_ms", (this->deadline - this->arrived - took).ms)
      .field("placed_on", this->decision.target ? this->decision.target->declared().id.str() : "")
      .field("warmth", static_cast<std::int64_t>(this->decision.expected_warmth))
      .field("load_percent", static_cast<std::int64_t>(this->decision.load * percent))
      .field("expected_ms", this->decision.expected_total.ms)
      .field("candidates", this->decision.candidates)
      .field("config_version", static_cast<std::int64_t>(this->snapshot->version.count()))
      .field("snapshot", static_cast<std::int64_t>(this->snapshot->sequence));
  return record;
}

}  // namespace zinnia
