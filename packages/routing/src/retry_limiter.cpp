// A ring of slices; requests count for slightly less and retries for slightly more than the window.
#include "zinnia/routing/retry_limiter.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

/// Fraction of `ratio` that is used.
constexpr double ratio_fraction = 0.8;
/// Fraction of the node's share of `extra_per_window` that is used: all nodes may restart once in a window,
/// and forget the retries they have made.
constexpr double extra_fraction = 0.5;

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

void retry_limiter::on_request(const retry_budget_settings& budget, time_point now) noexcept {
  ++this->current_slice(slice_index(budget, now)).requests;
}

retry_usage retry_limiter::usage(const retry_budget_settings& budget, int nodes,
                                 time_point now) const noexcept {
  const auto index = slice_index(budget, now);
  const auto oldest = index - static_cast<std::int64_t>(slices_per_window);
  retry_usage used;
  for (const auto& counted : this->slices) {
    if (counted.index >= oldest && counted.index <= index) {
      used.retries += counted.retries;
      // Of the oldest two slices, parts may be outside the window.
      used.requests += counted.index > oldest + 1 ? counted.requests : 0;
    }
  }
  const double extra = nodes > 0 ? impl::extra_fraction * budget.extra_per_window / nodes : 0;
  used.allowed = impl::ratio_fraction * budget.ratio * static_cast<double>(used.requests) + extra;
  return used;
}

bool retry_limiter::try_consume(const retry_budget_settings& budget, int nodes, time_point now) noexcept {
  const auto used = this->usage(budget, nodes, now);
  if (static_cast<double>(used.retries + 1) > used.allowed) {
    return false;
  }
  ++this->current_slice(slice_index(budget, now)).retries;
  return true;
}

}  // namespace zinnia
