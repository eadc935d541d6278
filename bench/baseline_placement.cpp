// Random placement, the least loaded server, and the better of two random servers.
#include "baseline_placement.hpp"

#include <algorithm>

namespace zinnia::bench {

placement_decision choose_baseline(policy selected_policy, const backend_table& table,
                                   const service_id& service, time_point now, std::mt19937_64& random) {
  std::vector<std::shared_ptr<backend_state>> eligible;
  for (const auto& backend : table.all()) {
    if (backend->declared().service == service && table.is_eligible(*backend, now)) {
      eligible.push_back(backend);
    }
  }
  placement_decision decision;
  if (eligible.empty()) {
    return decision;
  }
  const auto pick_random = [&] {
    const double fraction = std::uniform_real_distribution<>{0, 1}(random);
    return eligible[static_cast<std::size_t>(fraction * static_cast<double>(eligible.size()))];
  };
  const auto load = [now](const auto& backend) { return backend->load(now); };
  decision.action = placement_action::send;
  decision.target = pick_random();
  if (selected_policy == policy::two_choices) {
    const auto other = pick_random();
    decision.target = load(other) < load(decision.target) ? other : decision.target;
  }
  if (selected_policy == policy::least_load) {
    std::shuffle(eligible.begin(), eligible.end(), random);
    decision.target = *std::min_element(eligible.begin(), eligible.end(),
                                        [&](const auto& a, const auto& b) { return load(a) < load(b); });
  }
  decision.load = load(decision.target);
  decision.expected_total = duration{100};
  return decision;
}

}  // namespace zinnia::bench
