// A simulated request of a caller.
#pragma once

#include <cstdint>
#include <vector>

#include "event_queue.hpp"
#include "scenario.hpp"
#include "zinnia/routing/backend_table.hpp"

namespace zinnia::bench {

/// \brief A request, from its creation to its final result.
struct simulated_request {
  std::uint64_t id{0};
  const request_class* kind{nullptr};
  /// The caller's failure domain.
  failure_domain_id domain;
  std::uint64_t object{0};
  sim_time created_at{0};
  sim_time deadline{0};
  /// How often the caller has sent it to an entry node.
  int attempts{0};
  bool done{false};
  std::vector<backend_id> tried_backends;
  placement_decision decision;
  sim_time sent_at{0};
  std::size_t entry_index{0};
};

}  // namespace zinnia::bench
