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

void work_estimate::note_work(bool was_warm, double took_ms) noexcept {
  (was_warm ? this->warm : this->cold).note(took_ms);
}

void work_estimate::note_answer(double kib) noexcept {
  this->answer.note(kib);
}

double work_estimate::cold_ms() const noexcept {
  return std::max(this->cold.value, this->warm.value);
}

}  // namespace zinnia
