// Placement parameters of a service at one location, taken from the settings tree.
#pragma once

#include <cstddef>
#include <cstdint>

#include "zinnia/core/clock.hpp"
#include "zinnia/settings/service_settings.hpp"

namespace zinnia {

/// \brief Parameters of placement at one location.
struct placement_settings {
  /// Multiplies what a request's cost of distance counts towards a copy of its object in the own failure
  /// domain.
  double own_domain_weight{1};
  /// Multiply the weight of a slot in the own region and in other regions when homes of objects are chosen.
  double own_region_weight{1};
  double other_region_weight{1};
  /// Cost of transferring one KiB of a response, as ms of latency, between domains and between regions.
  double domain_transfer_ms_per_kib{2};
  double region_transfer_ms_per_kib{2};
  /// Weight of the extra time of a miss in the placement cost, in addition to the time itself and scaled by
  /// utilisation: a miss takes slots from other requests.
  double miss_penalty{3};
  /// The number of backend servers at which all nodes look for an object. One of them loads it; with more to
  /// choose from, fewer objects are loaded at a busy server.
  std::size_t homes_per_object{3};
  /// True if objects may be handled by other servers than their homes while the service has spare capacity.
  bool allow_spillover{true};
  /// The number of objects that a backend server is assumed to hold in memory.
  std::size_t remembered_objects{40};
  /// The number of requests beyond its slots that are sent to a backend server, so that no slot stays idle.
  int overcommit{1};
  /// Maximum number of requests that wait at this node for one backend server.
  std::size_t queue_limit{64};
  /// How long a request that crashes backend servers is refused; 0 turns this off.
  duration crash_quarantine{600'000};
  /// True if a server that has started or recovered gets requests as fast as its answers show that it keeps
  /// up.
  bool paces_recovery{false};
  /// True if single long answers count little in a server's slowness, also for servers that report no pace.
  bool robust_slowness{false};
};

/// \brief Converts the effective settings of a location to placement parameters.
[[nodiscard]] placement_settings to_placement_settings(const service_settings& values) noexcept;

}  // namespace zinnia
