// Where a request should run: near first, elsewhere only when the wait here outweighs the distance.
#pragma once

#include <cstdint>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/peer_messages.hpp"
#include "zinnia/settings/service_settings.hpp"

namespace zinnia {

/// \brief A node that holds slots of the service, as far as is known.
struct placement_candidate {
  node_id node;
  region_id region;
  service_load load;
  /// One way from here.
  duration distance{0};
  bool is_self{false};
  bool is_remote{false};
  /// For remote candidates, whether this node's share has room.
  bool share_open{true};
};

/// \brief How candidates are weighed for one request.
struct placement_policy {
  std::int64_t latency_weight{10};
  std::int64_t headroom_weight{10};
  /// A move asks for this region first; empty if none does.
  region_id preferred;
  /// Spreads choices among equals; from the request's id.
  std::uint64_t seed{0};
};

/// \brief   Expected cost of a candidate; lower is better.
/// \details Latency is the way there and back and the expected wait, in ms; headroom counts the square of
///          the region's utilisation, so that its last free slots are the dearest.
[[nodiscard]] double placement_cost(const placement_candidate& candidate, double region_used_percent,
                                    const placement_policy& policy);

/// \brief Candidates in the order in which to try them; those without room for more are left out.
[[nodiscard]] std::vector<placement_candidate> rank(std::vector<placement_candidate> candidates,
                                                    const placement_policy& policy);

}  // namespace zinnia
