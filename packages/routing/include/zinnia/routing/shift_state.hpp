// Effect of the operators' drains and moves at one point in time.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief A share of a service's traffic that a move sends to another region.
struct traffic_move {
  region_id to;
  std::int64_t percent{0};

  friend bool operator==(const traffic_move&, const traffic_move&) = default;
};

/// \brief The drained servers and nodes and the moved traffic at one point in time.
struct shift_state {
  /// Backend servers that get no new requests.
  std::set<backend_id> closed_backends;
  /// Nodes that are no longer advertised to callers.
  std::set<node_id> drained_nodes;
  /// Moves by service and the region in which the requests arrive.
  std::map<std::pair<service_id, region_id>, std::vector<traffic_move>> moves;

  friend bool operator==(const shift_state&, const shift_state&) = default;
};

}  // namespace zinnia
