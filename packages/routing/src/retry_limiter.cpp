// Token buckets; requests are counted in a ring of slices.
#include "zinnia/routing/retry_limiter.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

/// Tokens that a request earns, as a fraction of `ratio`.
constexpr double earned_fraction = 0.55;
/// Largest number of earned tokens, as a fraction of `ratio` and of the requests of the window.
constexpr double saved_fraction = 0.42;
static_assert(earned_fraction + saved_fraction < 1, "tokens of two windows may be used in one");
/// Largest number of shared tokens, which is also how many a node gets in a window, as a fraction of its
/// share.
constexpr double shared_fraction = 0.5;

/// Returns the largest number of shared tokens of one of so many nodes.
[[nodiscard]] double share_of(const retry_budget_settings& budget, int nodes) noexcept {
  return nodes > 0 ? shared_fraction * budget.extra_per_window / nodes : 0;
}

}  // namespace
}  // namespace impl

std::int64_t retry_limiter::slice_index(const retry_budget_settings& budget, time_point now) noexcept {
  const auto length_ms = std::max<std::int64_t>(
      budget.window.ms / static_cast<std::int64_t>(retry_limiter::slices_per_window), 1);
  return now.ms / length_ms;
}

retry_limiter::slice& retry_limiter::current_slice(std::int64_t index) noexcept {
  auto& found = this->slices[static_cast<std::size_t>(index) % this->slices.size()];
  if (found.index != index) {
    found = {index, 0, 0};
  }
  return found;
}

retry_limiter::slice retry_limiter::count_window(const retry_budget_settings& budget,
                                                 time_point now) const noexcept {
  slice total{slice_index(budget, now), 0, 0};
  const auto before_window = total.index - static_cast<std::int64_t>(slices_per_window);
  for (const auto& counted : this->slices) {
    if (counted.index > before_window && counted.index <= total.index) {
      total.requests += counted.requests;
      total.retries += counted.retries;
    }
  }
  return total;
}

double retry_limiter::earned_now(const retry_budget_settings& budget, time_point now) const noexcept {
  return std::min(this->earned,
                  impl::saved_fraction * budget.ratio * this->count_window(budget, now).requests);
}

double retry_limiter::shared_now(const retry_budget_settings& budget, double share,
                                 time_point now) const noexcept {
  // If the share has grown, it is not known when.
  const double rate = this->latest_share > 0 ? std::min(share, this->latest_share) : share;
  const double windows = static_cast<double>((now - this->refilled_at).ms) /
                         static_cast<double>(std::max<std::int64_t>(budget.window.ms, 1));
  return std::clamp(this->shared + rate * windows, 0.0, share);
}

void retry_limiter::on_request(const retry_budget_settings& budget, time_point now) noexcept {
  ++this->current_slice(slice_index(budget, now)).requests;
  this->earned += impl::earned_fraction * budget.ratio;
  this->earned = this->earned_now(budget, now);
}

bool retry_limiter::try_consume(const retry_budget_settings& budget, int nodes, time_point now) noexcept {
  this->earned = this->earned_now(budget, now);
  const double share = impl::share_of(budget, nodes);
  double shared_tokens = 0;
  if (nodes > 0) {
    shared_tokens = this->shared_now(budget, share, now);
    this->shared = shared_tokens;
    this->refilled_at = now;
    this->latest_share = share;
  }
  if (this->earned + shared_tokens < 1) {
    return false;
  }
  const double paid_by_requests = std::min(this->earned, 1.0);
  this->earned -= paid_by_requests;
  this->shared -= 1 - paid_by_requests;
  ++this->current_slice(slice_index(budget, now)).retries;
  return true;
}

retry_usage retry_limiter::usage(const retry_budget_settings& budget, int nodes,
                                 time_point now) const noexcept {
  const auto counted = this->count_window(budget, now);
  return {counted.requests, counted.retries,
          this->earned_now(budget, now) +
              (nodes > 0 ? this->shared_now(budget, impl::share_of(budget, nodes), now) : 0)};
}

}  // namespace zinnia
