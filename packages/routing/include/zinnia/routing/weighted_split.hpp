// Distributes the requests of a route over its destinations in proportion to their weights.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

#include "zinnia/routing/declarations.hpp"

namespace zinnia {

/// \brief   Smooth weighted round robin for each route.
/// \details In any sequence of requests each destination gets its exact share to within one request. Random
///          selection would not guarantee that.
class weighted_split {
 public:
  [[nodiscard]] const service_id& pick(const route& matched_route);

 private:
  // One credit for each destination, by route host and prefix.
  absl::flat_hash_map<std::string, std::vector<double>> credits;
};

}  // namespace zinnia
