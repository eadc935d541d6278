// Retries, and how long they wait for the news that a server has crashed.
#include <utility>

#include "request_flow.hpp"

namespace zinnia {
namespace impl {
namespace {

/// A request is retried after up to this many failed connects, which do not count as attempts.
constexpr int max_connect_failures = 2;
/// The same while the links are in doubt: a server to which a connection is open may be among the next ones.
constexpr int max_blocked_connects = 16;
/// How long a retry waits until it is known if the server has crashed. A refused connection and the check of
/// another server take two round trips of the longest link (110 ms) and a wait for a slot.
constexpr duration max_verdict_wait{500};

}  // namespace
}  // namespace impl

bool request_flow::try_retry(const attempt_result& attempt) {
  if (this->run_verdict != verdict::did_not_run && !this->idempotent) {
    return false;
  }
  if (attempt.outcome == backend_outcome::no_response && this->crash_level > 0) {
    // The request has been at two servers, one after the other, when they crashed.
    return false;
  }
  this->tried_backends.push_back(this->decision.target->declared().id);
  const auto now = this->owner.clock.now();
  if (attempt.outcome == backend_outcome::unreachable) {
    const int max_failures = this->owner.links.state() == link_condition::up ? impl::max_connect_failures
                                                                             : impl::max_blocked_connects;
    return this->connect_failures <= max_failures || this->owner.links.is_lost(now);
  }
  return this->sent_count < this->max_attempts && now < this->deadline &&
         this->owner.try_consume_retry(this->service);
}

void request_flow::retry() {
  if (!this->owner.is_crash_undecided(*this->decision.target)) {
    this->place_request();
    return;
  }
  this->retry_held_until = this->owner.clock.now() + impl::max_verdict_wait;
  this->owner.held_retries.push_back(this->ticket);
}

bool request_flow::try_resume_retry() {
  const bool must_wait = this->retry_held_until && this->owner.clock.now() < *this->retry_held_until &&
                         this->owner.is_crash_undecided(*this->decision.target);
  if (must_wait) {
    return false;
  }
  if (std::exchange(this->retry_held_until, std::nullopt) && !this->closed) {
    this->place_request();
  }
  return true;
}

}  // namespace zinnia
