// What a settings tree declares besides inherited values: places, upstreams, links and planned shifts.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief A range of IPv4 client addresses; both ends belong to it.
struct client_block {
  std::uint32_t first{0};
  std::uint32_t last{0};
};

/// \brief A failure domain and the client blocks nearest to it.
struct domain_declaration {
  failure_domain_id id;
  region_id region;
  std::vector<client_block> clients;
};

/// \brief A backend server of one service at one place.
struct upstream_declaration {
  upstream_id id;
  service_id service;
  region_id region;
  failure_domain_id domain;
};

/// \brief A directed link between regions.
struct link_declaration {
  region_id from;
  region_id to;
  std::int64_t delay_ms{0};
  /// Requests in flight that the link carries, over all services. Invariant: sum of caps <= capacity.
  std::int64_t capacity{0};
  /// Requests in flight that a shift of one service may put on the link.
  std::map<service_id, std::int64_t> caps;
};

enum class shift_kind : unsigned char { drain_upstream, drain_entry, drain_domain, drain_region, move };

/// \brief The kind's word in commands and documents, such as "drain-region".
[[nodiscard]] std::string_view to_string(shift_kind kind) noexcept;

/// \brief   A planned drain or move.
/// \details Progress follows from the declaration and the time alone, so a restarted node continues it.
struct shift_intent {
  std::string id;
  shift_kind kind{shift_kind::drain_upstream};
  /// Upstream, entry, failure domain or region that is drained; for a move the region moved from.
  std::string target;
  /// Moves only: the service moved.
  service_id service;
  /// Moves only: the region moved to.
  region_id to;
  /// Percent of the traffic to shift in the end.
  std::int64_t percent{100};
  /// When it begins, in ms since the Unix epoch; 0 means at once.
  std::int64_t start_unix_ms{0};
};

}  // namespace zinnia
