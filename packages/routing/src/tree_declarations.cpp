// Conversion of a tree's services and upstreams to routes and backend servers.
#include "zinnia/routing/tree_declarations.hpp"

#include <cstdlib>

namespace zinnia {
namespace impl {
namespace {

/// Maximum number of connections to a backend server declared by a tree; trees have no setting for it.
constexpr int default_connections = 100;
/// A response within the longest deadline divided by this counts as timely.
constexpr std::int64_t target_latency_divisor = 4;
constexpr int default_attempts = 2;

}  // namespace
}  // namespace impl

tree_declarations declarations_of(const settings_tree& tree) {
  tree_declarations declarations;
  for (const auto& service : tree.services()) {
    const auto values = tree.effective(service).values;
    route service_route;
    service_route.name = service.str();
    service_route.prefix = "/v1/services/" + service.str() + "/";
    service_route.stripped_prefix_length = service_route.prefix.size() - 1;
    service_route.kind = request_kind::by_method;
    service_route.timeout = duration{values.longest_deadline_ms};
    service_route.target_latency = duration{values.longest_deadline_ms / impl::target_latency_divisor};
    service_route.max_attempts = impl::default_attempts;
    service_route.destinations = {{service, 1}};
    declarations.routes.push_back(std::move(service_route));
    service_declaration declared;
    declared.id = service;
    declared.health_path = "/health";
    declared.max_connections = impl::default_connections;
    declarations.services.push_back(std::move(declared));
  }
  for (const auto& upstream : tree.upstreams()) {
    const auto address = parse_endpoint(upstream.id.str());
    if (!address) {
      continue;  // Not reached: the tree parser rejects such names.
    }
    backend_declaration backend;
    backend.id = backend_id{upstream.id.str()};
    backend.service = upstream.service;
    backend.address = *address;
    backend.domain = upstream.domain;
    backend.slots = static_cast<int>(
        tree.effective(upstream.service, upstream.region, upstream.domain).values.slots_per_upstream);
    declarations.backends.push_back(std::move(backend));
  }
  return declarations;
}

}  // namespace zinnia
