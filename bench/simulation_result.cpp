// Policy names and the metrics derived from a simulated run.
#include <algorithm>
#include <array>

#include "simulation.hpp"

namespace zinnia::bench {

const char* to_string(policy selected_policy) noexcept {
  constexpr std::array<const char*, 6> names{"random",   "least load", "two choices",
                                             "one home", "ours",       "pooled bound"};
  return names.at(static_cast<std::size_t>(selected_policy));
}

double simulation_result::percentile(double fraction) const {
  if (this->latencies_ms.empty()) {
    return 0;
  }
  return this
      ->latencies_ms[static_cast<std::size_t>(fraction * static_cast<double>(this->latencies_ms.size() - 1))];
}

double moved_fraction(const std::map<std::string, int>& before, const std::map<std::string, int>& after) {
  constexpr int min_requests = 50;
  const auto total = [](const std::map<std::string, int>& counts) {
    int sum = 0;
    for (const auto& [region, count] : counts) {
      sum += count;
    }
    return sum;
  };
  const int all_before = total(before);
  const int all_after = total(after);
  if (all_before < min_requests || all_after < min_requests) {
    return 0;
  }
  double moved = 0;
  for (const auto& [region, count] : after) {
    const auto found = before.find(region);
    const double earlier = found == before.end() ? 0 : static_cast<double>(found->second) / all_before;
    moved += std::max(0.0, static_cast<double>(count) / all_after - earlier);
  }
  return moved;
}

}  // namespace zinnia::bench
