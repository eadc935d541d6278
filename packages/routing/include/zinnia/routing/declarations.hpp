// What a node is told: routes, services, backend servers and the places where they are.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/units.hpp"
#include "zinnia/routing/shift_state.hpp"
#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {

/// \brief Version of the configuration that is in force; grows with every accepted change.
using config_version = strong_number<struct config_version_tag, std::uint64_t>;

/// \brief What may be repeated.
enum class request_kind : unsigned char {
  /// Idempotent.
  safe,
  /// Runs at most once.
  unsafe,
  /// Idempotent, with large answers.
  download,
  /// Idempotent if the method is GET or HEAD.
  by_method,
};

/// \brief Whether a request may run more than once.
[[nodiscard]] constexpr bool is_repeatable(request_kind kind, std::string_view method) noexcept {
  if (kind == request_kind::by_method) {
    return method == "GET" || method == "HEAD";
  }
  return kind != request_kind::unsafe;
}

/// \brief One destination of a route and its share of the requests.
struct weighted_destination {
  service_id service;
  double weight{1};
};

/// \brief Where requests of a host and path prefix go, and within which limits.
struct route {
  std::string name;
  /// Empty: any host that has no routes of its own.
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Leading characters of the path that the backend server does not see.
  std::size_t stripped_prefix_length{0};
  request_kind kind{request_kind::safe};
  /// 0 is the most urgent.
  int priority{0};
  /// Requests for the same object are worth sending to the same backend server.
  bool sticky{false};
  duration target_latency{300};
  /// Longest time that a caller may be kept waiting.
  duration timeout{1000};
  /// Most backend servers to which one request may be sent.
  int max_attempts{2};
  /// Invariant: at least one.
  std::vector<weighted_destination> destinations;
  /// Empty: anywhere.
  std::set<region_id> allowed_regions;
};

/// \brief A service that routes may name.
struct service_declaration {
  service_id id;
  std::string health_path;
  /// Connections that a backend server accepts from all nodes together.
  int max_connections{100};
  /// Requests a second that a cold backend server bears.
  double cold_requests_per_second{0};
};

enum class backend_mode : unsigned char { ready, draining };

/// \brief A backend server as it describes itself.
struct backend_declaration {
  backend_id id;
  service_id service;
  ip_endpoint address;
  failure_domain_id domain;
  int slots{1};
  backend_mode mode{backend_mode::ready};
  /// Until when it is cold; in the past for a warm one.
  time_point cold_until;
  /// When it started, in ms since the Unix epoch; 0 if it does not say.
  std::int64_t started_unix_ms{0};
};

/// \brief Everything that decides where a request goes. Immutable once published.
struct routing_snapshot {
  /// Grows with every published snapshot of this process.
  std::uint64_t sequence{0};
  /// 0 until a configuration is known.
  config_version version;
  std::shared_ptr<const class route_table> routes;
  std::map<service_id, service_declaration> services;
  std::map<backend_id, backend_declaration> backends;
  /// Failure domains to which nothing may be sent.
  std::set<failure_domain_id> evacuated;
  /// The settings tree in force.
  std::shared_ptr<const settings_tree> tree;
  /// What the operators' drains and moves ask for at this moment.
  shift_state shifts;
};

}  // namespace zinnia
