// What one node is told at its start: where it stands, where it listens and which budgets hold.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/membership/serving_set.hpp"
#include "zinnia/routing/backend_table.hpp"
#include "zinnia/routing/retry_token_bucket.hpp"

namespace zinnia {

/// \brief Checked settings of one node.
struct node_settings {
  node_id node;
  std::string ip;
  location here;
  /// The region of each failure domain.
  std::map<failure_domain_id, region_id> regions;

  ip_endpoint callers;
  ip_endpoint readiness;
  ip_endpoint directory;
  /// Metrics, and the operators' interface.
  ip_endpoint operators;
  ip_endpoint store;
  /// How long the store keeps changes for watches.
  duration store_history{20'000};
  /// Port for heartbeats between nodes.
  std::uint16_t peer_port{0};

  std::size_t most_descriptors{1024};
  node_capacity capacity;
  retry_budget_settings retry_budget;
  /// Time from the order to stop until the process is killed.
  duration stop_limit{6000};
  /// Longest time for which callers keep an answer of the directory.
  duration longest_answer_life{5000};
  /// Time within which a backend server that leaves must get no more requests.
  duration drain_limit{2500};

  /// File of the settings tree that holds until the store has one; empty: defaults.
  std::string tree_file;
  std::string log_level{"info"};
  /// Finished requests that a node can be asked about.
  std::size_t fate_records{1000};
};

}  // namespace zinnia
