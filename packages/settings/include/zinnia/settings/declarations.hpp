// Declarations of a settings tree: failure domains, upstreams, links between regions and planned shifts.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief An inclusive range of IPv4 client addresses, in host byte order.
struct client_block {
  std::uint32_t first{0};
  std::uint32_t last{0};
};

/// \brief A failure domain and the client blocks for which it is the nearest domain.
struct domain_declaration {
  failure_domain_id id;
  region_id region;
  std::vector<client_block> clients;
};

/// \brief A backend server of one service in one failure domain.
struct upstream_declaration {
  upstream_id id;
  service_id service;
  region_id region;
  failure_domain_id domain;
};

/// \brief A directed link between two regions.
struct link_declaration {
  region_id from;
  region_id to;
  std::int64_t delay_ms{0};
  /// Maximum number of requests in flight over the link, for all services together.
  /// Invariant: sum of caps <= capacity.
  std::int64_t capacity{0};
  /// Maximum number of requests in flight that a shift of each service may add to the link.
  std::map<service_id, std::int64_t> caps;
};

enum class shift_kind : unsigned char { drain_upstream, drain_entry, drain_domain, drain_region, move };

/// \brief Returns the name of the kind in commands and documents, such as "drain-region".
[[nodiscard]] std::string_view to_string(shift_kind kind) noexcept;

/// \brief   A planned drain or move.
/// \details Its progress is computed from the declarations and the time, so a restarted node continues it.
struct shift_intent {
  std::string id;
  shift_kind kind{shift_kind::drain_upstream};
  /// The upstream, entry, failure domain or region to drain; for a move, the source region.
  std::string target;
  /// Moves only: the service whose traffic moves.
  service_id service;
  /// Moves only: the destination region.
  region_id to;
  /// Percentage of the traffic that is shifted once the shift is complete, from 1 to 100.
  std::int64_t percent{100};
  /// Start time in ms since the Unix epoch; 0 applies `percent` at once, without steps.
  std::int64_t start_unix_ms{0};
};

}  // namespace zinnia
