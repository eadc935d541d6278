// Smooth weighted round robin.
#include "zinnia/routing/weighted_split.hpp"

#include <algorithm>

namespace zinnia {

const service_id& weighted_split::pick(const route& rule) {
  if (rule.destinations.size() == 1) {
    return rule.destinations.front().service;
  }
  auto& credit = this->credits[rule.host + rule.prefix];
  credit.resize(rule.destinations.size(), 0);
  double total = 0;
  for (std::size_t i = 0; i < rule.destinations.size(); ++i) {
    credit[i] += rule.destinations[i].weight;
    total += rule.destinations[i].weight;
  }
  const auto chosen = std::max_element(credit.begin(), credit.end()) - credit.begin();
  credit[static_cast<std::size_t>(chosen)] -= total;
  return rule.destinations[static_cast<std::size_t>(chosen)].service;
}

}  // namespace zinnia
