// Growth and reduction of the limit.
#include "zinnia/routing/recovery_pace.hpp"

#include <algorithm>
#include <limits>

namespace zinnia {
namespace impl {
namespace {

/// Answers up to this slowness are in time. Work varies, and a server that has just started is often twice as
/// slow; neither means that it has too many requests.
constexpr double in_time_slowness = 2.5;
/// Answers beyond this slowness reduce the limit.
constexpr double overload_slowness = 5;

}  // namespace
}  // namespace impl

void recovery_pace::begin(time_point now, duration start_delay) noexcept {
  *this = recovery_pace{};
  this->active = true;
  this->begin_time = now;
  this->starts_at = now + start_delay;
  this->threshold = std::numeric_limits<double>::infinity();
}

bool recovery_pace::on_answer(double slowness, int slots, duration took, time_point now) noexcept {
  if (!this->active) {
    return false;
  }
  if (slowness > impl::overload_slowness) {
    this->reduce(took, now);
    return false;
  }
  if (slowness > impl::in_time_slowness) {
    return false;
  }
  const double full_limit = std::max(slots, 1);
  if (this->current_limit >= full_limit) {
    if (++this->answers_at_full_limit >= std::max(slots, 1)) {
      this->active = false;
      return true;
    }
    return false;
  }
  this->current_limit += this->current_limit < this->threshold ? 1 : 1 / this->current_limit;
  this->current_limit = std::min(this->current_limit, full_limit);
  return false;
}

void recovery_pace::on_failure(duration took, time_point now) noexcept {
  if (this->active) {
    this->reduce(took, now);
  }
}

void recovery_pace::reduce(duration took, time_point now) noexcept {
  if (now < this->reduction_allowed_at) {
    // These answers belong to requests that were sent before the last reduction.
    return;
  }
  this->reduction_allowed_at = now + took;
  this->answers_at_full_limit = 0;
  this->current_limit = std::max(this->current_limit / 2, 1.0);
  this->threshold = this->current_limit;
}

}  // namespace zinnia
