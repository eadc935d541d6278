// Lease arithmetic.
#include "zinnia/steering/lease.hpp"

#include <algorithm>

namespace zinnia {

void holder_lease::renewed(time_point sent) noexcept {
  this->until = std::max(this->until, sent + this->terms.term - this->terms.drift);
}

time_point holder_lease::valid_until() const noexcept {
  return this->unopposed ? end_of_time : this->until;
}

void heir_watch::promise(time_point now) noexcept {
  this->promised_until = std::max(this->promised_until, now + this->terms.term + this->terms.drift);
}

void heir_watch::observe_renewal(time_point now, std::int64_t renewal) noexcept {
  if (renewal != this->last_renewal) {
    this->last_renewal = renewal;
    this->renewal_seen_at = now;
  }
}

bool heir_watch::may_release(time_point now) const noexcept {
  const auto renewal_lapses = this->renewal_seen_at + this->terms.term + this->terms.drift;
  return now >= this->promised_until && now >= renewal_lapses;
}

}  // namespace zinnia
