// Running averages.
#include "zinnia/routing/work_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace impl {
namespace {

/// Samples after which the mean turns into a running average; some seconds of one route at one node.
constexpr int settled_count = 30;
/// A change of the mean size by this factor is more than its noise: several standard deviations of a mean of
/// 30 sizes that vary by 0.6 of themselves.
constexpr double real_change = 1.6;
/// Sizes below this count as equal.
constexpr double least_kib = 1;

}  // namespace
}  // namespace impl

void work_estimate::average::note(double sample) noexcept {
  this->count = std::min(this->count + 1, impl::settled_count);
  this->value += (sample - this->value) / (this->count + 1);
}

void work_estimate::record_work_time(warmth expected, double took_ms) noexcept {
  switch (expected) {
    case warmth::known:
      this->warm.note(took_ms);
      break;
    case warmth::none:
      this->cold.note(took_ms);
      break;
    case warmth::presumed:
      this->presumed_warm.note(took_ms < (this->warm_ms() + this->cold_ms()) / 2 ? 1 : 0);
      break;
  }
}

double work_estimate::expected_ms(warmth expected) const noexcept {
  switch (expected) {
    case warmth::known:
      return this->warm_ms();
    case warmth::none:
      return this->cold_ms();
    case warmth::presumed:
      break;
  }
  return this->cold_ms() - this->presumed_warm.value * (this->cold_ms() - this->warm_ms());
}

void work_estimate::record_response_size(double kib) noexcept {
  this->answer.note(kib);
  const double ratio =
      std::max(this->answer.value, impl::least_kib) / std::max(this->settled, impl::least_kib);
  if (this->answer.count < impl::settled_count || std::abs(std::log(ratio)) > std::log(impl::real_change)) {
    this->settled = this->answer.value;
  }
}

double work_estimate::cold_ms() const noexcept {
  return std::max(this->cold.value, this->warm.value);
}

}  // namespace zinnia
