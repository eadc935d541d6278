// Moving averages of work time and response size.
#include "zinnia/routing/work_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace impl {
namespace {

/// Samples after which the mean becomes an exponential moving average; a few seconds of traffic of one route
/// at one node.
constexpr int max_mean_samples = 30;
/// Assumed time at a server that holds the object, as a fraction of the time at one that does not.
constexpr double initial_warm_fraction = 0.3;
/// Samples from which on a mean tells a slow server from a slow route.
constexpr int min_typical_samples = 5;
/// Factor by which the mean size must change for the change to be significant: several standard deviations of
/// a mean of 30 sizes with a standard deviation of 0.6 of their mean.
constexpr double significant_change = 1.6;
/// Sizes below this are treated as equal.
constexpr double min_kib = 1;

}  // namespace
}  // namespace impl

work_estimate::work_estimate(duration target_latency) noexcept
    : warm{impl::initial_warm_fraction * static_cast<double>(target_latency.ms)},
      cold{static_cast<double>(target_latency.ms)} {}

void work_estimate::running_mean::add(double sample) noexcept {
  this->count = std::min(this->count + 1, impl::max_mean_samples);
  this->value += (sample - this->value) / (this->count + 1);
}

void work_estimate::record_work_time(warmth expected, double took_ms) noexcept {
  switch (expected) {
    case warmth::known:
      this->warm.add(took_ms);
      break;
    case warmth::none:
      this->cold.add(took_ms);
      break;
    case warmth::presumed:
      if (this->is_like_warm(took_ms)) {
        this->presumed_warm_fraction.add(1);
      } else {
        this->presumed_warm_fraction.add(0);
        this->cold.add(took_ms);
      }
      break;
  }
}

bool work_estimate::is_like_warm(double took_ms) const noexcept {
  return took_ms < (this->warm_ms() + this->cold_ms()) / 2;
}

bool work_estimate::is_warm_sample(warmth expected, double took_ms) const noexcept {
  return expected == warmth::presumed ? this->is_like_warm(took_ms) : expected == warmth::known;
}

bool work_estimate::is_typical_known(warmth expected, double took_ms) const noexcept {
  const auto& mean = this->is_warm_sample(expected, took_ms) ? this->warm : this->cold;
  return mean.count >= impl::min_typical_samples;
}

double work_estimate::typical_ms(warmth expected, double took_ms) const noexcept {
  if (!this->is_typical_known(expected, took_ms)) {
    return took_ms;
  }
  return this->is_warm_sample(expected, took_ms) ? this->warm_ms() : this->cold_ms();
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
  return this->cold_ms() - this->presumed_warm_fraction.value * (this->cold_ms() - this->warm_ms());
}

void work_estimate::record_response_size(double kib) noexcept {
  this->response_size.add(kib);
  const double ratio =
      std::max(this->response_size.value, impl::min_kib) / std::max(this->stable_size, impl::min_kib);
  if (this->response_size.count < impl::max_mean_samples ||
      std::abs(std::log(ratio)) > std::log(impl::significant_change)) {
    this->stable_size = this->response_size.value;
  }
}

double work_estimate::cold_ms() const noexcept {
  return std::max(this->cold.value, this->warm.value);
}

}  // namespace zinnia
