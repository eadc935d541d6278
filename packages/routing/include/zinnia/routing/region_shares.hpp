// How the objects of each region's callers spread over the servers of all regions.
#pragma once

#include <map>

#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief What a region has and what its callers need; the units cancel out.
struct region_capacity {
  /// Slots of a service's servers.
  double slots{0};
  /// Relative demand of the region's callers.
  double demand{1};
};

/// \brief   Returns the weight of one slot in each region for the objects of one region's callers.
///
/// \details Callers of a region mostly ask for objects that no other region asks for. A region keeps as many
/// of its
///          objects as its slots can carry at the utilisation of the whole service, and the rest goes to
///          regions with slots to spare, so that no region is busier than another and as little as possible
///          crosses regions. A region without spare slots keeps a small weight: it takes over if all others
///          are lost.
///
///          The result depends only on declarations, not on what a node measures, so all nodes of a region
///          agree.
/// \param   own The region of the callers.
[[nodiscard]] std::map<region_id, double> slot_weights(const std::map<region_id, region_capacity>& regions,
                                                       const region_id& own);

}  // namespace zinnia
