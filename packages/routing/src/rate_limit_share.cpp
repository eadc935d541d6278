// Division of a rate limit among nodes, and the token bucket that keeps to a node's part.
#include "zinnia/routing/rate_limit_share.hpp"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace impl {
namespace {

/// Parts of a limit for the nearest nodes and for all others. Together 1.
constexpr double near_fraction = 0.9;
constexpr double other_fraction = 0.1;
/// Least rate that is worth giving to another near node, in requests per second: a node with less would hold
/// none of the server's objects in use.
constexpr double min_useful_rate = 0.5;
/// Limits below this one count as this one, in requests per second: without any request, no node would learn
/// that the limit has ended.
constexpr double min_limit = 0.1;
/// Requests that may be sent at once after a pause, as seconds of the rate; at least one request.
constexpr double burst_s = 0.25;
/// Time in which a node with a small share may use a token; it then waits for the next period.
constexpr std::int64_t small_share_window_ms = 1000;
/// How long after the last response that named a limit another one may end it.
constexpr duration min_limit_age{1000};
constexpr double ms_per_second = 1000;

[[nodiscard]] double burst(double rate_per_second) noexcept {
  return std::max(1.0, rate_per_second * burst_s);
}

}  // namespace
}  // namespace impl

namespace impl {
namespace {

/// Returns the number of near nodes that divide most of the limit, as a whole number.
[[nodiscard]] double count_large_shares(double limit_per_second, const node_standing& standing) noexcept {
  const double useful_shares = std::floor(limit_per_second * near_fraction / min_useful_rate);
  return std::min(std::max(useful_shares, 1.0), static_cast<double>(standing.near_count));
}

}  // namespace
}  // namespace impl

bool has_large_share(double limit_per_second, const node_standing& standing) noexcept {
  return static_cast<double>(standing.rank) < impl::count_large_shares(limit_per_second, standing);
}

double share_of_rate(double limit_per_second, const node_standing& standing) noexcept {
  const double limit = std::max(limit_per_second, impl::min_limit);
  if (has_large_share(limit, standing)) {
    return limit * impl::near_fraction / impl::count_large_shares(limit, standing);
  }
  return limit * impl::other_fraction / static_cast<double>(std::max<std::size_t>(standing.serving_count, 1));
}

double rate_limit_share::rate() const noexcept {
  return this->limit_per_second ? share_of_rate(*this->limit_per_second, this->standing) : 0;
}

double rate_limit_share::tokens_at(time_point now) const noexcept {
  const double rate = this->rate();
  const auto elapsed_ms = static_cast<double>(std::max<std::int64_t>((now - this->refilled_at).ms, 0));
  return std::min(this->tokens + rate * elapsed_ms / impl::ms_per_second, impl::burst(rate));
}

void rate_limit_share::refill(time_point now) noexcept {
  this->tokens = this->tokens_at(now);
  this->refilled_at = now;
}

void rate_limit_share::on_limit(double limit_per_second_in, time_point now) noexcept {
  this->last_named_at = now;
  if (this->limit_per_second) {
    this->refill(now);
  } else {
    this->tokens = 0;
    this->refilled_at = now;
  }
  this->limit_per_second = limit_per_second_in;
}

void rate_limit_share::on_no_limit(time_point now) noexcept {
  if (this->limit_per_second && now - this->last_named_at >= impl::min_limit_age) {
    this->limit_per_second.reset();
  }
}

void rate_limit_share::set_standing(const node_standing& standing_in, time_point now) noexcept {
  if (this->limit_per_second) {
    this->refill(now);
  }
  this->standing = standing_in;
}

time_point rate_limit_share::next_in_window(time_point at) const noexcept {
  const double rate = this->rate();
  const auto period_ms = static_cast<std::int64_t>(impl::ms_per_second / rate);
  if (has_large_share(*this->limit_per_second, this->standing) || period_ms <= impl::small_share_window_ms) {
    return at;
  }
  const auto offset_ms =
      static_cast<std::int64_t>(this->standing.phase % static_cast<std::uint64_t>(period_ms));
  const auto since_begin_ms = (at.ms + offset_ms) % period_ms;
  return since_begin_ms < impl::small_share_window_ms ? at : at + duration{period_ms - since_begin_ms};
}

time_point rate_limit_share::next_send_at(time_point now) const noexcept {
  if (!this->limit_per_second) {
    return now;
  }
  const double missing = std::max(1 - this->tokens_at(now), 0.0);
  const auto earned_in_ms = std::ceil(missing * impl::ms_per_second / this->rate());
  return this->next_in_window(now + duration{static_cast<std::int64_t>(earned_in_ms)});
}

void rate_limit_share::on_sent(time_point now) noexcept {
  if (this->limit_per_second) {
    this->refill(now);
    // A request that was on its way when the limit was named has not waited for a token.
    this->tokens = std::max(this->tokens - 1, 0.0);
  }
}

}  // namespace zinnia
