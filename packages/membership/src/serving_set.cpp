// Chooses serving nodes in descending order of capacity until their total capacity suffices for the load.
#include "zinnia/membership/serving_set.hpp"

#include <algorithm>
#include <tuple>

namespace zinnia {
namespace impl {
namespace {

/// Minimum number of serving nodes in a failure domain, so that callers keep one if a node fails.
constexpr std::size_t min_serving_nodes = 2;
/// A node counts as the same size as the largest one from this fraction of its capacity on.
constexpr double same_size_fraction = 0.5;
/// Maximum fraction of the chosen nodes' capacity that the load may use; the rest absorbs bursts until more
/// nodes are chosen.
constexpr double max_used_fraction = 0.5;
/// The same limit for a choice that drops previously chosen nodes; lower, so that the choice is stable.
constexpr double max_used_fraction_when_dropping = 0.35;

struct totals {
  double cpu_milli{0};
  double link_kbit{0};
};

[[nodiscard]] bool is_same_size(const node_capacity& node, const node_capacity& largest) noexcept {
  return node.cpu_milli >= same_size_fraction * largest.cpu_milli &&
         node.link_kbit >= same_size_fraction * largest.link_kbit;
}

}  // namespace
}  // namespace impl

std::set<node_id> choose_serving_nodes(std::vector<serving_candidate> candidates,
                                       const std::set<node_id>& previous) {
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::tuple{-a.capacity.cpu_milli, -a.capacity.link_kbit, a.id} <
           std::tuple{-b.capacity.cpu_milli, -b.capacity.link_kbit, b.id};
  });
  impl::totals total_load;
  for (const auto& candidate : candidates) {
    total_load.cpu_milli += candidate.load.cpu_milli;
    total_load.link_kbit += candidate.load.link_kbit;
  }
  std::set<node_id> chosen;
  impl::totals capacity;
  for (auto next = candidates.begin(); next != candidates.end();) {
    const auto largest = next->capacity;
    for (; next != candidates.end() && impl::is_same_size(next->capacity, largest); ++next) {
      chosen.insert(next->id);
      capacity.cpu_milli += next->capacity.cpu_milli;
      capacity.link_kbit += next->capacity.link_kbit;
    }
    // A choice that drops previously chosen nodes needs more spare capacity than one that keeps them all.
    const bool drops_previous = std::any_of(
        next, candidates.end(), [&](const auto& remaining) { return previous.contains(remaining.id); });
    const double max_used = drops_previous ? impl::max_used_fraction_when_dropping : impl::max_used_fraction;
    if (chosen.size() >= impl::min_serving_nodes && total_load.cpu_milli <= max_used * capacity.cpu_milli &&
        total_load.link_kbit <= max_used * capacity.link_kbit) {
      break;
    }
  }
  return chosen;
}

}  // namespace zinnia
