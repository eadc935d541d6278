// Keeps a request within its account's limit: admission, the wait for a token, and its return.
#include <algorithm>

#include "request_flow.hpp"
#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How long a request waits for a token: a round trip between regions (110 ms) and the time to answer.
constexpr duration max_token_wait{150};
constexpr int status_over_limit = 429;
constexpr std::int64_t percent = 100;

}  // namespace
}  // namespace impl

void request_flow::admit_and_place() {
  // The node that forwards a request has taken a token for it.
  if (this->owner.limits == nullptr || !this->identity || this->forwarded || this->matched_route.is_public) {
    this->place_request();
    return;
  }
  const auto now = this->owner.clock.now();
  const auto decision = this->owner.limits->try_admit(this->identity->id, now);
  switch (decision.admission) {
    case account_admission::admitted:
      this->has_token = true;
      this->place_request();
      return;
    case account_admission::waits:
      this->token_wait_until = now + impl::max_token_wait;
      this->owner.waiting_for_tokens.push_back(this->ticket);
      this->owner.send_account_asks();
      return;
    case account_admission::over_limit:
      this->refuse_over_limit(decision.retry_after);
      return;
  }
}

bool request_flow::try_leave_token_wait() {
  if (!this->token_wait_until) {
    return true;
  }
  const auto now = this->owner.clock.now();
  if (this->owner.limits->try_again(this->identity->id, now) == account_admission::admitted) {
    this->token_wait_until.reset();
    this->has_token = true;
    this->place_request();
    return true;
  }
  if (now < *this->token_wait_until) {
    return false;
  }
  this->token_wait_until.reset();
  this->refuse_over_limit(this->owner.limits->stop_waiting(this->identity->id, true, now));
  return true;
}

void request_flow::refuse_over_limit(duration retry_after) {
  // Up to twice the time, so that callers refused together do not return together.
  const auto extra = static_cast<std::int64_t>(stable_hash(this->request_id) % impl::percent);
  this->respond_unavailable(reason::account_over_limit,
                            retry_after + duration{retry_after.ms * extra / impl::percent},
                            impl::status_over_limit);
}

void request_flow::release_token() {
  const auto now = this->owner.clock.now();
  if (this->token_wait_until) {
    this->token_wait_until.reset();
    this->owner.limits->stop_waiting(this->identity->id, false, now);
  } else if (this->has_token && this->run_verdict == verdict::did_not_run) {
    this->owner.limits->refund(this->identity->id, now);
  }
}

}  // namespace zinnia
