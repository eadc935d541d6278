// The start-up settings of one node: its location, its addresses and its limits.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "zinnia/accounts/account_limit_settings.hpp"
#include "zinnia/core/clock.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/membership/serving_set.hpp"
#include "zinnia/routing/backend_table.hpp"
#include "zinnia/routing/cold_limit_settings.hpp"
#include "zinnia/routing/retry_limiter.hpp"

namespace zinnia {

/// \name Memory limits, in MB of `bytes_per_mb`
/// \{
inline constexpr std::size_t bytes_per_mb = 1'000'000;
inline constexpr std::int64_t min_memory_mb = 64;
inline constexpr std::int64_t max_memory_mb = 1'000'000;
/// \brief That of a node that is not told one.
inline constexpr std::size_t default_memory_mb = 256;
/// \}

/// \brief The validated settings of one node.
struct node_settings {
  node_id node;
  std::string ip;
  location own_location;
  /// The region of each failure domain.
  std::map<failure_domain_id, region_id> regions;

  ip_endpoint caller_endpoint;
  ip_endpoint readiness_endpoint;
  ip_endpoint directory_endpoint;
  /// For metrics and the operator interface.
  ip_endpoint operator_endpoint;
  ip_endpoint store_endpoint;
  /// How long the store keeps its history of changes, which watches resume from.
  duration store_history{20'000};
  /// The UDP port for heartbeats and the TCP port for relayed changes between nodes.
  std::uint16_t peer_port{0};
  /// The UDP port for holder notices; 0 lets the system choose one.
  std::uint16_t notice_port{0};
  /// The TCP port for requests that other nodes forward; 0 lets the system choose one, and without a port the
  /// node receives none.
  std::optional<std::uint16_t> forward_port;

  std::size_t max_descriptors{1024};
  /// The memory that the process may use, in bytes.
  std::size_t memory_limit{default_memory_mb * bytes_per_mb};
  node_capacity capacity;
  retry_budget_settings retry_budget;
  /// Time from the stop signal until the process is killed.
  duration stop_limit{6000};
  /// Upper limit on how long callers may cache a directory response.
  duration max_lookup_lifetime{5000};
  /// Time after a disturbance within which this node must be up to date again.
  duration recovery_limit{3000};
  /// Time after which a backend server that is leaving must receive no more requests.
  duration drain_limit{2500};

  /// Time after which a request with a key that was removed must not run anywhere; set if nodes that cannot
  /// prove that their configuration is current must refuse requests with keys.
  std::optional<duration> revocation_limit;
  account_limit_settings account_limits;
  cold_limit_settings cold_limits;

  /// File of the settings tree in use until the store provides one; empty for the defaults.
  std::string tree_file;
  std::string log_level{"info"};
  /// The number of finished requests whose records are kept for the operator interface.
  std::size_t fate_records{1000};
};

}  // namespace zinnia
