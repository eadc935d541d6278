// A moving average of logarithms that resists single outliers.
#include "zinnia/routing/robust_slowness.hpp"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace impl {
namespace {

/// Weight of a sample, and the greatest weight within a series of outliers.
constexpr double sample_weight = 0.2;
constexpr double max_weight = 0.5;
/// Bound of the first outlier's distance from the average, a factor of 1.5; it doubles with each further one.
/// With 3% of the work seven times as long, one answer then changes the average by 8%.
constexpr double initial_bound = 0.405;
/// Enough for the bound to exceed every possible distance.
constexpr int max_outliers = 8;

}  // namespace
}  // namespace impl

double robust_slowness::next(double average, double sample) noexcept {
  const double distance = std::log(sample / average);
  if (std::abs(distance) <= impl::initial_bound) {
    this->outliers = 0;
    return average * std::exp(distance * impl::sample_weight);
  }
  const int side = distance > 0 ? 1 : -1;
  this->outliers = this->outliers * side > 0 ? this->outliers + side : side;
  this->outliers = std::clamp(this->outliers, -impl::max_outliers, impl::max_outliers);
  const int count = std::abs(this->outliers);
  const double bound = impl::initial_bound * std::exp2(count - 1);
  const double weight = std::min(impl::sample_weight * count, impl::max_weight);
  return average * std::exp(std::clamp(distance, -bound, bound) * weight);
}

}  // namespace zinnia
