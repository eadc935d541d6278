// The declared configuration: routes, services, backend servers and the snapshot that combines them.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia/accounts/account_table.hpp"
#include "zinnia/core/clock.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/units.hpp"
#include "zinnia/routing/shift_state.hpp"
#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {

/// \brief Determines which requests of a route may be repeated.
enum class request_kind : unsigned char {
  /// Idempotent.
  safe,
  /// Runs at most once.
  unsafe,
  /// Idempotent, with large responses.
  download,
  /// Idempotent if the method is GET or HEAD.
  by_method,
};

/// \brief Returns true if a request may run more than once.
[[nodiscard]] constexpr bool is_repeatable(request_kind kind, std::string_view method) noexcept {
  if (kind == request_kind::by_method) {
    return method == "GET" || method == "HEAD";
  }
  return kind != request_kind::unsafe;
}

/// \brief One destination of a route and its traffic weight.
struct weighted_destination {
  service_id service;
  double weight{1};
};

/// \brief Destinations and limits of the requests for a host and path prefix.
struct route {
  std::string name;
  /// If empty, the route applies to every host that has no routes of its own.
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// The number of leading path characters that are removed before the request is forwarded.
  std::size_t stripped_prefix_length{0};
  request_kind kind{request_kind::safe};
  /// 0 is the most urgent.
  int priority{0};
  /// True if requests for the same object benefit from going to the same backend server.
  bool sticky{false};
  duration target_latency{300};
  /// Maximum time until the caller has a response.
  duration timeout{1000};
  /// Maximum number of backend servers to which one request may be sent.
  int max_attempts{2};
  /// Invariant: at least one.
  std::vector<weighted_destination> destinations;
  /// Regions in which requests may be handled; all if empty.
  std::set<region_id> allowed_regions;
  /// True if requests need no key although accounts are configured.
  bool is_public{false};
};

/// \brief A service that routes may use as a destination.
struct service_declaration {
  service_id id;
  std::string health_path;
  /// Maximum number of connections that a backend server accepts from all nodes together.
  int max_connections{100};
  /// Maximum request rate of a cold backend server, from all nodes together.
  double cold_requests_per_second{0};
};

enum class backend_mode : unsigned char { ready, draining };

/// \brief A backend server as declared by its entry.
struct backend_declaration {
  backend_id id;
  service_id service;
  ip_endpoint address;
  failure_domain_id domain;
  int slots{1};
  backend_mode mode{backend_mode::ready};
  /// End of the cold start; in the past for a warm server.
  time_point cold_until;
  /// Start time in ms since the Unix epoch; 0 if unknown.
  std::int64_t started_unix_ms{0};
};

/// \brief The complete input of routing and placement. Immutable once published.
struct routing_snapshot {
  /// Increases with every snapshot that this process publishes.
  std::uint64_t sequence{0};
  /// 0 until the first configuration is accepted.
  config_version version;
  std::shared_ptr<const class route_table> routes;
  std::map<service_id, service_declaration> services;
  /// Null if no accounts are configured; requests need no key then.
  std::shared_ptr<const account_table> accounts;
  std::map<backend_id, backend_declaration> backends;
  /// Failure domains that get no requests.
  std::set<failure_domain_id> evacuated;
  /// The region of each known failure domain; null if it has not changed since the process started.
  std::shared_ptr<const std::map<failure_domain_id, region_id>> regions;
  /// The active settings tree; may be null.
  std::shared_ptr<const settings_tree> tree;
  /// Current state of the operators' drains and moves.
  shift_state shifts;
};

}  // namespace zinnia
