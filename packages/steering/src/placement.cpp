// Cost and order of candidates.
#include "zinnia/steering/placement.hpp"

#include <algorithm>
#include <map>
#include <string>

#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr double all_percent = 100.0;
/// Cost, in the unit of one ms of latency at weight 1, of a nudge that keeps equals from herding.
constexpr double own_node_bonus = 1.0;
constexpr double spread = 50.0;
/// Weight of a node's own utilisation, which decides among the nodes of a region.
constexpr double node_share = 1.0;

[[nodiscard]] double expected_wait_ms(const service_load& load) {
  if (load.slots_free > 0) {
    return 0.0;
  }
  return static_cast<double>(load.queued + 1) * load.service_time_ms / std::max(1, load.slots_total);
}

[[nodiscard]] double utilisation_percent(const service_load& load) {
  if (load.slots_total == 0) {
    return all_percent;
  }
  return all_percent * (load.slots_total - load.slots_free) / load.slots_total;
}

/// A stable number in [0, spread) for this request and node.
[[nodiscard]] double spread_of(const node_id& node, std::uint64_t seed) {
  constexpr std::uint64_t steps = 1024;
  const auto weight = rendezvous_weight(node.str(), std::to_string(seed));
  return spread * static_cast<double>(weight % steps) / static_cast<double>(steps);
}

/// Utilisation of each region over all its candidates: one node's few slots swing too much to steer by.
[[nodiscard]] std::map<region_id, double> utilisation_by_region(
    const std::vector<placement_candidate>& candidates) {
  std::map<region_id, service_load> sums;
  for (const auto& candidate : candidates) {
    auto& sum = sums[candidate.region];
    sum.slots_total += candidate.load.slots_total;
    sum.slots_free += candidate.load.slots_free;
  }
  std::map<region_id, double> used;
  for (const auto& [region, sum] : sums) {
    used[region] = utilisation_percent(sum);
  }
  return used;
}

}  // namespace
}  // namespace impl

double placement_cost(const placement_candidate& candidate, double region_used_percent,
                      const placement_policy& policy) {
  const double way = 2.0 * static_cast<double>(candidate.distance.ms);
  const double wait = impl::expected_wait_ms(candidate.load);
  return static_cast<double>(policy.latency_weight) * (way + wait) +
         static_cast<double>(policy.headroom_weight) * region_used_percent * region_used_percent /
             impl::all_percent +
         impl::node_share * impl::utilisation_percent(candidate.load);
}

std::vector<placement_candidate> rank(std::vector<placement_candidate> candidates,
                                      const placement_policy& policy) {
  std::erase_if(candidates, [](const placement_candidate& candidate) {
    return candidate.load.slots_total == 0 || (candidate.is_remote && !candidate.share_open);
  });
  const auto used = impl::utilisation_by_region(candidates);
  struct costed {
    bool preferred;
    double cost;
    placement_candidate candidate;
  };
  std::vector<costed> order;
  for (auto& candidate : candidates) {
    const bool preferred = !policy.preferred.empty() && candidate.region == policy.preferred;
    double cost = placement_cost(candidate, used.at(candidate.region), policy) +
                  impl::spread_of(candidate.node, policy.seed);
    cost -= candidate.is_self ? impl::own_node_bonus : 0.0;
    order.push_back({preferred, cost, std::move(candidate)});
  }
  std::sort(order.begin(), order.end(), [](const costed& a, const costed& b) {
    return a.preferred != b.preferred ? a.preferred : a.cost < b.cost;
  });
  std::vector<placement_candidate> ranked;
  for (auto& entry : order) {
    ranked.push_back(std::move(entry.candidate));
  }
  return ranked;
}

}  // namespace zinnia
