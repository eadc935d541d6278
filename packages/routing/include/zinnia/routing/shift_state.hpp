// What planned drains and moves ask for at one moment.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief One part of a service's traffic that a move sends elsewhere.
struct traffic_move {
  region_id to;
  std::int64_t percent{0};

  friend bool operator==(const traffic_move&, const traffic_move&) = default;
};

/// \brief Drains and moves as far as they have come.
struct shift_state {
  /// Backend servers that get no new requests.
  std::set<backend_id> closed_backends;
  /// Nodes that callers are no longer told of.
  std::set<node_id> drained_nodes;
  /// By service and the region that the requests come from.
  std::map<std::pair<service_id, region_id>, std::vector<traffic_move>> moves;

  friend bool operator==(const shift_state&, const shift_state&) = default;
};

}  // namespace zinnia
