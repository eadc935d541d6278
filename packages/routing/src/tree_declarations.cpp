// Translation of a tree's services and upstreams.
#include "zinnia/routing/tree_declarations.hpp"

#include <cstdlib>

namespace zinnia {
namespace impl {
namespace {

/// Connections to one backend server of a tree's service; trees do not state any.
constexpr int default_connections = 100;
/// Part of the longest deadline within which an answer counts as timely.
constexpr std::int64_t timely_part = 4;
constexpr int default_attempts = 2;

}  // namespace
}  // namespace impl

tree_declarations declarations_of(const settings_tree& tree) {
  tree_declarations found;
  for (const auto& service : tree.services()) {
    const auto values = tree.effective(service).values;
    route rule;
    rule.name = service.str();
    rule.prefix = "/v1/services/" + service.str() + "/";
    rule.stripped_prefix_length = rule.prefix.size() - 1;
    rule.kind = request_kind::by_method;
    rule.timeout = duration{values.longest_deadline_ms};
    rule.target_latency = duration{values.longest_deadline_ms / impl::timely_part};
    rule.max_attempts = impl::default_attempts;
    rule.destinations = {{service, 1}};
    found.routes.push_back(std::move(rule));
    service_declaration declared;
    declared.id = service;
    declared.health_path = "/health";
    declared.max_connections = impl::default_connections;
    found.services.push_back(std::move(declared));
  }
  for (const auto& upstream : tree.upstreams()) {
    const auto address = parse_endpoint(upstream.id.str());
    if (!address) {
      continue;  // The tree's parser has refused such names.
    }
    backend_declaration backend;
    backend.id = backend_id{upstream.id.str()};
    backend.service = upstream.service;
    backend.address = *address;
    backend.domain = upstream.domain;
    backend.slots = static_cast<int>(
        tree.effective(upstream.service, upstream.region, upstream.domain).values.slots_per_upstream);
    found.backends.push_back(std::move(backend));
  }
  return found;
}

}  // namespace zinnia
