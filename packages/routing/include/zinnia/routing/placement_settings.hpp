// How this node weighs distance, waiting and bytes; from the settings tree.
#pragma once

#include <cstddef>
#include <cstdint>

#include "zinnia/settings/service_settings.hpp"

namespace zinnia {

/// \brief Weights of placement at one place.
struct placement_settings {
  /// Which part of the objects have their home near: weights of a backend server by its distance.
  double own_domain_weight{16};
  double own_region_weight{4};
  double other_region_weight{1};
  /// What moving a KiB of an answer costs, as ms of latency.
  double domain_transfer_ms_per_kib{2};
  double region_transfer_ms_per_kib{2};
  /// How much a miss counts beyond its own time, as it takes slots from other requests; times utilisation.
  double miss_penalty{3};
  /// Backend servers that may handle an object; more would push other objects out of their memory.
  std::size_t homes_per_object{2};
  /// Whether objects may leave their homes while the service has room to spare.
  bool allow_spillover{true};
  /// Objects that a backend server is taken to remember.
  std::size_t remembered_objects{40};
  /// Requests beyond its slots that are sent to a backend server, so that a slot is never left empty.
  int overcommit{1};
  /// Requests that may wait here for one backend server.
  std::size_t queue_limit{64};
};

/// \brief The weights that a place's effective settings give.
[[nodiscard]] placement_settings to_placement_settings(const service_settings& values) noexcept;

}  // namespace zinnia
