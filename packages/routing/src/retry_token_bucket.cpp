// The bucket's arithmetic.
#include "zinnia/routing/retry_token_bucket.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

/// Part of the ratio that is used; the rest covers nodes whose view of the others differs.
constexpr double used_ratio = 0.7;
/// Part of `extra` that the bucket holds when full; a window sees this and as much again flow in.
constexpr double burst_part = 0.35;
/// Part of `extra` that flows in during one window.
constexpr double flow_part = 0.35;

}  // namespace
}  // namespace impl

void retry_token_bucket::on_request(const retry_budget_settings& budget) noexcept {
  this->tokens += budget.ratio * impl::used_ratio;
}

void retry_token_bucket::refill(const retry_budget_settings& budget, int nodes, time_point now) noexcept {
  const double share = budget.extra_per_window / std::max(nodes, 1);
  const double most = std::max(share * impl::burst_part, 1.0);
  if (!this->started) {
    this->started = true;
    this->tokens = most;
  } else {
    const auto elapsed = static_cast<double>((now - this->refilled_at).ms);
    this->tokens += share * impl::flow_part * elapsed / static_cast<double>(budget.window.ms);
  }
  this->refilled_at = now;
  this->tokens = std::min(this->tokens, most);
}

bool retry_token_bucket::try_consume(const retry_budget_settings& budget, int nodes,
                                     time_point now) noexcept {
  this->refill(budget, nodes, now);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

}  // namespace zinnia
