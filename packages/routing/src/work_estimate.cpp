// Running averages.
#include "zinnia/routing/work_estimate.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

/// Samples after which the mean turns into a running average; some seconds of one route at one node.
constexpr int settled_count = 30;

}  // namespace
}  // namespace impl

void work_estimate::average::note(double sample) noexcept {
  this->count = std::min(this->count + 1, impl::settled_count);
  this->value += (sample - this->value) / (this->count + 1);
}

void work_estimate::note_work(warmth expected, double took_ms) noexcept {
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

void work_estimate::note_answer(double kib) noexcept {
  this->answer.note(kib);
}

double work_estimate::cold_ms() const noexcept {
  return std::max(this->cold.value, this->warm.value);
}

}  // namespace zinnia
