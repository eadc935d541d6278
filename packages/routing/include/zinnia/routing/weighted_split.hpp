// Divides requests among the parts of a route in proportion to their weights.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

#include "zinnia/routing/declarations.hpp"

namespace zinnia {

/// \brief   Smooth weighted round robin for each route.
/// \details Any stretch of requests is divided within one request of the exact share, unlike by chance.
class weighted_split {
 public:
  [[nodiscard]] const service_id& pick(const route& rule);

 private:
  // By route name and prefix; a credit for each part.
  absl::flat_hash_map<std::string, std::vector<double>> credits;
};

}  // namespace zinnia
