// Implementation of smooth weighted round robin.
#include "zinnia/routing/weighted_split.hpp"

#include <algorithm>

namespace zinnia {

const service_id& weighted_split::pick(const route& matched_route) {
  if (matched_route.destinations.size() == 1) {
    return matched_route.destinations.front().service;
  }
  auto& credit = this->credits[matched_route.host + matched_route.prefix];
  credit.resize(matched_route.destinations.size(), 0);
  double total = 0;
  for (std::size_t i = 0; i < matched_route.destinations.size(); ++i) {
    credit[i] += matched_route.destinations[i].weight;
    total += matched_route.destinations[i].weight;
  }
  const auto chosen = std::max_element(credit.begin(), credit.end()) - credit.begin();
  credit[static_cast<std::size_t>(chosen)] -= total;
  return matched_route.destinations[static_cast<std::size_t>(chosen)].service;
}

}  // namespace zinnia
