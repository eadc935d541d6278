// The overlay's rules.
#include "zinnia/steering/overlay.hpp"

#include <algorithm>

#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

void add_tree_links(const holdings_table& table, const failure_domain_id& domain, const node_id& self,
                    std::set<node_id>& found) {
  const auto order = relay_order(table, domain);
  const auto at = std::find(order.begin(), order.end(), self);
  if (at == order.end()) {
    return;
  }
  const auto position = static_cast<std::size_t>(at - order.begin());
  if (position > 0) {
    found.insert(order[(position - 1) / relay_fan_out]);
  }
  const auto first_child = position * relay_fan_out + 1;
  for (auto child = first_child; child < first_child + relay_fan_out && child < order.size(); ++child) {
    found.insert(order[child]);
  }
}

[[nodiscard]] std::set<failure_domain_id> domains_of(const holdings_table& table) {
  std::set<failure_domain_id> domains;
  for (const auto& [id, node] : table.nodes) {
    domains.insert(node.domain);
  }
  return domains;
}

/// The first of each failure domain's watchers, to which nodes elsewhere talk.
void add_heads(const holdings_table& table, std::set<node_id>& found) {
  for (const auto& domain : domains_of(table)) {
    const auto order = relay_order(table, domain);
    for (std::size_t i = 0; i < std::min(watchers_per_domain, order.size()); ++i) {
      found.insert(order[i]);
    }
  }
}

}  // namespace
}  // namespace impl

std::vector<node_id> relay_order(const holdings_table& table, const failure_domain_id& domain) {
  std::vector<node_id> order;
  for (const auto& [id, node] : table.nodes) {
    if (node.domain == domain) {
      order.push_back(id);
    }
  }
  std::sort(order.begin(), order.end(), [&](const node_id& a, const node_id& b) {
    return rendezvous_weight(a.str(), domain.str()) > rendezvous_weight(b.str(), domain.str());
  });
  return order;
}

std::set<node_id> overlay_neighbours(const std::map<region_id, std::shared_ptr<const holdings_table>>& tables,
                                     const region_id& own_region, const node_id& self) {
  std::set<node_id> found;
  const auto own = tables.find(own_region);
  if (own == tables.end()) {
    return found;
  }
  const auto& table = *own->second;
  for (const auto& [id, node] : table.nodes) {
    if (id == self) {
      found.insert(node.heirs.begin(), node.heirs.end());
    }
    if (table.nodes.size() <= small_region) {
      found.insert(id);
    }
  }
  const auto entry = table.nodes.find(self);
  if (entry != table.nodes.end()) {
    impl::add_tree_links(table, entry->second.domain, self, found);
    const auto order = relay_order(table, entry->second.domain);
    const auto at = std::find(order.begin(), order.end(), self);
    const bool is_head = static_cast<std::size_t>(at - order.begin()) < watchers_per_domain;
    for (const auto& [region, other] : tables) {
      if (region != own_region && (is_head || other->nodes.size() <= small_region)) {
        impl::add_heads(*other, found);
      }
    }
    if (is_head) {
      impl::add_heads(table, found);
    }
  }
  found.erase(self);
  return found;
}

}  // namespace zinnia
