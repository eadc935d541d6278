// One pass over the candidates.
#include "zinnia/routing/object_homes.hpp"

#include <algorithm>
#include <utility>

#include "zinnia/routing/rendezvous_score.hpp"

namespace zinnia {

object_homes rank_homes(std::span<const home_candidate> candidates, std::uint64_t object,
                        std::size_t shared_count) {
  std::vector<std::pair<double, std::size_t>> best;
  best.reserve(shared_count + 1);
  object_homes homes;
  double best_in_domain = 0;
  double best_elsewhere = 0;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto& candidate = candidates[i];
    const double score = rendezvous_score(candidate.hash, object, candidate.weight);
    if (candidate.is_in_own_domain && (!homes.in_domain || score > best_in_domain)) {
      best_in_domain = score;
      homes.in_domain = i;
    }
    if (!candidate.is_in_own_region && (!homes.relief || score > best_elsewhere)) {
      best_elsewhere = score;
      homes.relief = i;
    }
    if (best.size() == shared_count && (best.empty() || score <= best.back().first)) {
      continue;
    }
    const auto position =
        std::find_if(best.begin(), best.end(), [score](const auto& ranked) { return score > ranked.first; });
    best.insert(position, {score, i});
    if (best.size() > shared_count) {
      best.pop_back();
    }
  }
  for (const auto& [score, index] : best) {
    homes.shared.push_back(index);
    if (homes.relief == index) {
      homes.relief.reset();
    }
  }
  return homes;
}

}  // namespace zinnia
