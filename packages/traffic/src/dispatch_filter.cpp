// The holder's end of the pipeline: a slot, one delivery, and a second one if the first certainly did not
// run.
#include "forward.hpp"
#include "zinnia/steering/retry_rule.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int most_deliveries = 2;
constexpr duration refused_retry_after{100};

class dispatch_filter final : public filter {
 public:
  explicit dispatch_filter(filter_context& shared) : context{shared} {}
  [[nodiscard]] const char* name() const noexcept override { return "dispatch"; }

  [[nodiscard]] exchange_answer handle(traffic_request& request, const next_filter& /*next*/) override {
    exchange_answer answer;
    std::vector<attempt_record> attempts;
    verdict overall = verdict::did_not_run;
    upstream_id avoid;
    for (int delivery = 0; delivery < most_deliveries; ++delivery) {
      answer = this->deliver_once(request, avoid, attempts);
      overall = combine(overall, answer.outcome);
      if (attempts.empty() || !this->tries_again(request, answer)) {
        break;
      }
      avoid = attempts.back().upstream;
      if (delivery + 1 < most_deliveries) {
        this->context.counts.retried(answer.why);
      }
    }
    answer.outcome = answer.outcome == verdict::ran ? verdict::ran : overall;
    answer.attempts = std::move(attempts);
    return answer;
  }

 private:
  [[nodiscard]] bool tries_again(const traffic_request& request, const exchange_answer& last) const {
    return last.outcome == verdict::did_not_run && is_retryable(last.why) && !request.cancelled() &&
           this->context.clock.now() < request.deadline;
  }

  [[nodiscard]] exchange_answer deliver_once(const traffic_request& request, const upstream_id& avoid,
                                             std::vector<attempt_record>& attempts) {
    const auto asked = this->context.clock.now();
    const bool elsewhere = request.from_elsewhere || request.origin_region != this->context.region;
    const auto decision = this->context.slots.acquire(
        {0, request.service, elsewhere, request.deadline, request.may_queue, avoid}, request.cancelled);
    this->context.counts.record(timing::queue_wait, this->context.clock.now() - asked);
    if (const auto* const refusal = std::get_if<slot_refusal>(&decision)) {
      return refuse(request, refusal->why, refusal->retry_after);
    }
    const auto& grant = std::get<slot_grant>(decision);
    const auto started = this->context.clock.now();
    attempt_record attempt{this->context.me,    grant.upstream, verdict::did_not_run,
                           reason::term_lapsed, unix_time_ms(), {0}};
    auto answer = refuse(request, reason::term_lapsed, refused_retry_after);
    if (this->context.slots.may_send(grant)) {
      answer = this->send(request, grant);
    }
    attempt.took = this->context.clock.now() - started;
    this->context.slots.release(grant, attempt.took);
    this->context.counts.record(timing::backend, attempt.took);
    attempt.outcome = answer.outcome;
    attempt.why = answer.why;
    attempts.push_back(attempt);
    return answer;
  }

  [[nodiscard]] exchange_answer send(const traffic_request& request, const slot_grant& grant) {
    const auto values = settings_for(*this->context.view(), request.service, this->context.region);
    const auto left = request.deadline - this->context.clock.now();
    backend_request outgoing;
    outgoing.upstream = grant.upstream;
    outgoing.method = request.method;
    outgoing.path = request.path;
    outgoing.headers = request.headers;
    outgoing.headers.emplace_back("X-Request-Id", request.id.str());
    outgoing.headers.emplace_back("X-Deadline-Ms", std::to_string(left.ms));
    if (!request.key.empty()) {
      outgoing.headers.emplace_back("Idempotency-Key", request.key.str());
    }
    outgoing.body = request.body;
    outgoing.limit = left;
    outgoing.idempotent = request.is_idempotent();
    outgoing.answer_limit_bytes = static_cast<std::size_t>(values.answer_limit_bytes);
    auto received = this->context.backends.send(outgoing, request.cancelled);
    if (received.leaving) {
      // Seen at the backend server itself, so this holds also while the store is down.
      this->context.slots.report({grant.upstream, true, true, 0, 0, this->context.clock.now()});
    }
    return to_answer(request, std::move(received));
  }

  [[nodiscard]] static exchange_answer to_answer(const traffic_request& request, backend_answer received) {
    auto answer = refuse(request, received.why, refused_retry_after, received.outcome);
    const bool refused = received.outcome == verdict::did_not_run;
    if (refused) {
      return answer;
    }
    answer.retry_after = {};
    answer.status = received.status;
    answer.headers = std::move(received.headers);
    answer.body = std::move(received.body);
    return answer;
  }

  filter_context& context;
};

}  // namespace
}  // namespace impl

std::unique_ptr<filter> make_dispatch_filter(filter_context& context) {
  return std::make_unique<impl::dispatch_filter>(context);
}

}  // namespace zinnia
