// Demand that exceeds a region's slots is dealt out to the other regions in proportion to their spare slots.
#include "zinnia/routing/region_shares.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

/// The part of a region's slots that always counts as spare.
constexpr double min_spare_fraction = 0.005;

}  // namespace
}  // namespace impl

std::map<region_id, double> slot_weights(const std::map<region_id, region_capacity>& regions,
                                         const region_id& own) {
  double all_slots = 0;
  double all_demand = 0;
  for (const auto& [id, region] : regions) {
    all_slots += region.slots;
    all_demand += region.demand;
  }
  const auto needed_slots = [&](const region_capacity& region) {
    return all_demand > 0 ? region.demand / all_demand * all_slots : 0;
  };
  const auto spare_slots = [&](const region_capacity& region) {
    return std::max(region.slots - needed_slots(region), region.slots * impl::min_spare_fraction);
  };
  const auto own_region = regions.find(own);
  const double own_slots = own_region == regions.end() ? 0 : own_region->second.slots;
  const double own_need = own_region == regions.end() ? 0 : needed_slots(own_region->second);
  const double kept = own_need > 0 ? std::min(own_slots / own_need, 1.0) : 0;
  const double exported = std::max(1 - kept, impl::min_spare_fraction);
  double others_spare = 0;
  for (const auto& [id, region] : regions) {
    others_spare += id == own ? 0 : spare_slots(region);
  }
  std::map<region_id, double> weights;
  for (const auto& [id, region] : regions) {
    if (region.slots <= 0) {
      continue;
    }
    const double share = id == own ? kept : exported * spare_slots(region) / others_spare;
    weights[id] = std::max(share / region.slots, 1e-9);
  }
  return weights;
}

}  // namespace zinnia
