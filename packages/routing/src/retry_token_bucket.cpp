// Refill and consumption of retry tokens.
#include "zinnia/routing/retry_token_bucket.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

/// Fraction of `ratio` that is used. The rest is a margin for nodes that count the other nodes differently.
constexpr double ratio_fraction = 0.7;
/// Capacity of the bucket as a fraction of the node's share of `extra_per_window`. One window can use a full
/// bucket and the same amount again by refill.
constexpr double burst_fraction = 0.35;
/// Refill during one window as a fraction of the node's share of `extra_per_window`.
constexpr double refill_fraction = 0.35;

}  // namespace
}  // namespace impl

void retry_token_bucket::on_request(const retry_budget_settings& budget) noexcept {
  this->tokens += budget.ratio * impl::ratio_fraction;
}

void retry_token_bucket::refill(const retry_budget_settings& budget, int nodes, time_point now) noexcept {
  const double node_share = budget.extra_per_window / std::max(nodes, 1);
  const double capacity = std::max(node_share * impl::burst_fraction, 1.0);
  if (!this->is_initialized) {
    this->is_initialized = true;
    this->tokens = capacity;
  } else {
    const auto elapsed = static_cast<double>((now - this->refilled_at).ms);
    this->tokens += node_share * impl::refill_fraction * elapsed / static_cast<double>(budget.window.ms);
  }
  this->refilled_at = now;
  this->tokens = std::min(this->tokens, capacity);
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
