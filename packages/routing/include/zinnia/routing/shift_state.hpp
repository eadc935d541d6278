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
struct moved_part {
  region_id to;
  std::int64_t percent{0};

  friend bool operator==(const moved_part&, const moved_part&) = default;
};

/// \brief Drains and moves as far as they have come.
struct shift_state {
  /// Backend servers that get no new requests.
  std::set<backend_id> closed;
  /// Nodes that callers are no longer told of.
  std::set<node_id> drained_nodes;
  /// By service and the region that the requests come from.
  std::map<std::pair<service_id, region_id>, std::vector<moved_part>> moves;

  friend bool operator==(const shift_state&, const shift_state&) = default;
};

}  // namespace zinnia
