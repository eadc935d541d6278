// The regions in which a request may be handled.
#pragma once

#include <set>

#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief   Allows the regions that both the route and the account of a request allow.
/// \details A set that is null or empty allows all regions. Two sets without a common region allow none.
struct region_filter {
  const std::set<region_id>* of_route{nullptr};
  const std::set<region_id>* of_account{nullptr};

  [[nodiscard]] bool allows(const region_id& region) const {
    const auto is_in = [&](const std::set<region_id>* regions) {
      return regions == nullptr || regions->empty() || regions->contains(region);
    };
    return is_in(this->of_route) && is_in(this->of_account);
  }
};

}  // namespace zinnia
