// Nodes by falling capacity until their sum carries the work.
#include "zinnia/membership/serving_set.hpp"

#include <algorithm>
#include <tuple>

namespace zinnia {
namespace impl {
namespace {

/// Nodes that share a domain's callers at least, so that the loss of one is borne.
constexpr std::size_t min_serving_nodes = 2;
/// A node with at least this part of the largest one's capacity counts as equally large.
constexpr double same_size_part = 0.5;
/// Part of their capacity that the chosen nodes may use; the rest is for bursts until more are chosen.
constexpr double most_used_part = 0.5;
/// Part below which a set suffices that is smaller than the last one.
constexpr double clearly_enough_part = 0.35;

struct totals {
  double cpu_milli{0};
  double link_kbit{0};
};

[[nodiscard]] bool is_same_size(const node_capacity& one, const node_capacity& largest) noexcept {
  return one.cpu_milli >= same_size_part * largest.cpu_milli &&
         one.link_kbit >= same_size_part * largest.link_kbit;
}

}  // namespace
}  // namespace impl

std::set<node_id> choose_serving_nodes(std::vector<serving_candidate> candidates,
                                       const std::set<node_id>& before) {
  std::sort(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
    return std::tuple{-a.capacity.cpu_milli, -a.capacity.link_kbit, a.id} <
           std::tuple{-b.capacity.cpu_milli, -b.capacity.link_kbit, b.id};
  });
  impl::totals work;
  for (const auto& candidate : candidates) {
    work.cpu_milli += candidate.load.cpu_milli;
    work.link_kbit += candidate.load.link_kbit;
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
    // A set that lacks nodes chosen last time must have more room than one that has them all.
    const bool is_smaller =
        std::any_of(next, candidates.end(), [&](const auto& rest) { return before.contains(rest.id); });
    const double used = is_smaller ? impl::clearly_enough_part : impl::most_used_part;
    if (chosen.size() >= impl::min_serving_nodes && work.cpu_milli <= used * capacity.cpu_milli &&
        work.link_kbit <= used * capacity.link_kbit) {
      break;
    }
  }
  return chosen;
}

}  // namespace zinnia
