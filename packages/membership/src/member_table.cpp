// Registration, liveness by heartbeats, expiry of entries, and the addresses advertised to callers.
#include "zinnia/membership/member_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Returns 0 within a failure domain, 1 within a region and 2 between regions.
[[nodiscard]] int distance(const location& a, const location& b) {
  return a.domain == b.domain ? 0 : a.region == b.region ? 1 : 2;
}

/// Sort key of a node's peers: the nearest first; at the same distance, in the
/// order of names from this node on, wrapping around at the last name. In a
/// large domain each node thus receives heartbeats from equally many others.
[[nodiscard]] std::tuple<int, bool, const node_id&> peer_order(const member& from, const member& to) {
  return {distance(from.where, to.where), to.id < from.id, to.id};
}

}  // namespace
}  // namespace impl

void member_table::add(const member& registered, time_point now) {
  auto& entry = this->members[registered.id];
  if (entry.registered.incarnation != registered.incarnation) {
    entry = record{};
    entry.registered_at = now;
  }
  entry.registered = registered;
  ++this->revision;
}

void member_table::remove(const node_id& id) {
  this->members.erase(id);
  ++this->revision;
}

void member_table::on_heartbeat(const node_heartbeat& heartbeat, time_point now) {
  const auto found = this->members.find(heartbeat.id);
  if (found == this->members.end() || found->second.registered.incarnation != heartbeat.incarnation) {
    return;
  }
  found->second.heartbeat_received = true;
  found->second.last_heartbeat_at = now;
  found->second.ready = heartbeat.ready;
  found->second.leaving = heartbeat.leaving;
  found->second.reaches_backends = heartbeat.reaches_backends;
  found->second.is_confirmed = heartbeat.is_confirmed;
  found->second.load = heartbeat.load;
  found->second.watching = heartbeat.watching;
  found->second.latest_versions = heartbeat.latest_versions;
}

void member_table::set_own_state(bool ready, bool leaving, const node_load& load, bool reaches_backends,
                                 bool is_confirmed) noexcept {
  this->self_ready = ready;
  this->self_leaving = leaving;
  this->self_load = load;
  this->self_reaches_backends = reaches_backends;
  this->self_confirmed = is_confirmed;
}

bool member_table::accepts_requests(const node_id& id, const record& entry, time_point now) const {
  if (id == this->self) {
    return this->self_ready && !this->self_leaving;
  }
  return entry.heartbeat_received && entry.ready && !entry.leaving &&
         now - entry.last_heartbeat_at < heartbeat_timeout;
}

live_members member_table::alive(time_point now) {
  auto found = this->accepting_members(now);
  std::map<failure_domain_id, std::vector<serving_candidate>> candidates;
  // A node without a proof refuses requests even if it has links, while one without links hands them to
  // peers.
  const bool any_confirmed =
      std::any_of(found.begin(), found.end(), [](const auto& each) { return each.second.is_confirmed; });
  const auto is_usable = [&](const member& node) { return node.is_confirmed || !any_confirmed; };
  // If no node has links, the servers are down rather than the links.
  const bool any_reaches = std::any_of(found.begin(), found.end(), [&](const auto& each) {
    return each.second.reaches_backends && is_usable(each.second);
  });
  for (const auto& [id, node] : found) {
    if (!is_usable(node)) {
      continue;
    }
    if (any_reaches && !node.reaches_backends) {
      continue;
    }
    const auto& load = id == this->self ? this->self_load : this->members.at(id).load;
    candidates[node.where.domain].push_back({id, node.capacity, load});
  }
  std::map<failure_domain_id, std::set<node_id>> chosen;
  for (auto& [domain, nodes] : candidates) {
    chosen[domain] = choose_serving_nodes(std::move(nodes), this->serving_by_domain[domain]);
  }
  this->serving_by_domain = std::move(chosen);
  for (auto& [id, node] : found) {
    node.serves = this->serving_by_domain[node.where.domain].contains(id);
  }
  return found;
}

const limit_holders& member_table::holders_of_limits() {
  if (std::exchange(this->holders_revision, this->revision) == this->revision) {
    return this->cached_holders;
  }
  std::map<failure_domain_id, std::vector<serving_candidate>> candidates;
  for (const auto& [id, entry] : this->members) {
    candidates[entry.registered.where.domain].push_back({id, entry.registered.capacity, {}});
  }
  std::set<node_id> chosen;
  for (auto& [domain, nodes] : candidates) {
    chosen.merge(choose_serving_nodes(std::move(nodes), {}));
  }
  const auto own = this->members.find(this->self);
  this->cached_holders = {};
  for (const auto& id : chosen) {
    const auto& node = this->members.at(id).registered;
    if (id == this->self) {
      this->cached_holders.self = this->cached_holders.all.size();
    }
    const int distance =
        own == this->members.end() ? 0 : impl::distance(own->second.registered.where, node.where);
    this->cached_holders.all.push_back({id, {node.peer_address.ip, node.notice_port}, distance});
  }
  return this->cached_holders;
}

live_members member_table::accepting_members(time_point now) const {
  live_members found;
  for (const auto& [id, entry] : this->members) {
    if (this->accepts_requests(id, entry, now)) {
      auto& added = found.emplace(id, entry.registered).first->second;
      added.reaches_backends = id == this->self ? this->self_reaches_backends : entry.reaches_backends;
      added.is_confirmed = id == this->self ? this->self_confirmed : entry.is_confirmed;
    }
  }
  return found;
}

std::vector<std::string> advertised_addresses(const live_members& alive, const location& caller) {
  std::vector<std::string> in_domain;
  std::vector<std::string> in_region;
  std::vector<std::string> anywhere;
  for (const auto& [id, node] : alive) {
    if (!node.serves) {
      continue;
    }
    auto& list = node.where.domain == caller.domain   ? in_domain
                 : node.where.region == caller.region ? in_region
                                                      : anywhere;
    if (list.size() < max_advertised_addresses) {
      list.push_back(node.caller_address);
    }
  }
  return !in_domain.empty() ? in_domain : !in_region.empty() ? in_region : anywhere;
}

std::vector<member> member_table::peers() const {
  const auto own = this->members.find(this->self);
  if (own == this->members.end()) {
    // This node is not registered yet, so the others would ignore its heartbeats.
    return {};
  }
  const auto& here = own->second.registered;
  std::vector<const member*> others;
  for (const auto& [id, entry] : this->members) {
    if (id != this->self) {
      others.push_back(&entry.registered);
    }
  }
  const auto count = std::min(others.size(), max_heartbeat_peers);
  std::partial_sort(others.begin(), others.begin() + static_cast<std::ptrdiff_t>(count), others.end(),
                    [&](const member* a, const member* b) {
                      return impl::peer_order(here, *a) < impl::peer_order(here, *b);
                    });
  std::vector<member> chosen;
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(*others[i]);
  }
  return chosen;
}

bool member_table::receives_heartbeats_from(const member& other) const {
  const auto own = this->members.find(this->self);
  if (own == this->members.end()) {
    return false;
  }
  const auto here = impl::peer_order(other, own->second.registered);
  const auto nearer = std::count_if(this->members.begin(), this->members.end(), [&](const auto& item) {
    return item.first != other.id && impl::peer_order(other, item.second.registered) < here;
  });
  return static_cast<std::size_t>(nearer) < max_heartbeat_peers;
}

bool member_table::is_nearest_to(const member& expired, const live_members& alive_members) const {
  const auto nearest =
      std::min_element(alive_members.begin(), alive_members.end(), [&](const auto& a, const auto& b) {
        return std::pair{impl::distance(a.second.where, expired.where), a.first} <
               std::pair{impl::distance(b.second.where, expired.where), b.first};
      });
  return nearest != alive_members.end() && nearest->first == this->self;
}

std::vector<node_id> member_table::nodes_to_remove(time_point now) const {
  const auto alive_members = this->accepting_members(now);
  std::vector<node_id> expired;
  for (const auto& [id, entry] : this->members) {
    const bool is_expired = entry.heartbeat_received
                                ? now - entry.last_heartbeat_at > member_expiry
                                : now - entry.registered_at > member_expiry_without_heartbeat;
    if (id != this->self && is_expired && this->receives_heartbeats_from(entry.registered) &&
        this->is_nearest_to(entry.registered, alive_members)) {
      expired.push_back(id);
    }
  }
  return expired;
}

failure_domain_id member_table::own_domain() const {
  const auto own = this->members.find(this->self);
  return own == this->members.end() ? failure_domain_id{} : own->second.registered.where.domain;
}

std::optional<member> member_table::change_relay_source(time_point now) const {
  const auto chosen = this->serving_by_domain.find(this->own_domain());
  if (chosen == this->serving_by_domain.end()) {
    return std::nullopt;
  }
  const bool serves = chosen->second.contains(this->self);
  const auto own_hash = stable_hash(this->self.str());
  std::optional<member> source;
  std::uint64_t best_weight = 0;
  std::size_t source_count = 0;
  for (const auto& id : chosen->second) {
    // A serving node follows only nodes with a lower hash, so that no nodes follow each other in a cycle.
    if (serves && stable_hash(id.str()) >= own_hash) {
      continue;
    }
    const auto found = this->members.find(id);
    if (found == this->members.end() || !found->second.watching ||
        !this->accepts_requests(id, found->second, now)) {
      continue;
    }
    // Spreads the followers evenly over the relay nodes.
    const auto weight = rendezvous_weight(id.str(), this->self.str());
    if (!source || weight > best_weight) {
      source = found->second.registered;
      best_weight = weight;
    }
    ++source_count;
  }
  return serves && source_count < max_store_watchers ? std::nullopt : source;
}

std::optional<member> member_table::nearest_watching_node(time_point now) const {
  const auto own = this->members.find(this->self);
  if (own == this->members.end()) {
    return std::nullopt;
  }
  const auto& here = own->second.registered.where;
  const member* nearest = nullptr;
  std::pair<int, std::uint64_t> best_rank;
  for (const auto& [id, entry] : this->members) {
    if (id == this->self || !entry.watching || !this->accepts_requests(id, entry, now)) {
      continue;
    }
    // Spreads the followers evenly over the nodes at the same distance.
    const std::pair rank{impl::distance(here, entry.registered.where),
                         ~rendezvous_weight(id.str(), this->self.str())};
    if (nearest == nullptr || rank < best_rank) {
      nearest = &entry.registered;
      best_rank = rank;
    }
  }
  return nearest == nullptr ? std::nullopt : std::optional{*nearest};
}

bool member_table::is_behind(const std::vector<object_version>& known, time_point now) const {
  return std::any_of(this->members.begin(), this->members.end(), [&](const auto& item) {
    const auto& other = item.second;
    if (!other.watching || other.latest_versions.size() != known.size() ||
        now - other.last_heartbeat_at >= heartbeat_timeout) {
      return false;
    }
    for (std::size_t i = 0; i < known.size(); ++i) {
      if (other.latest_versions[i] > known[i]) {
        return true;
      }
    }
    return false;
  });
}

std::optional<member> member_table::find(const node_id& id) const {
  const auto found = this->members.find(id);
  return found == this->members.end() ? std::nullopt : std::optional{found->second.registered};
}

std::vector<node_id> member_table::others_in_random_order() const {
  std::vector<std::pair<std::uint64_t, node_id>> weighted;
  for (const auto& [id, entry] : this->members) {
    if (id != this->self) {
      weighted.emplace_back(rendezvous_weight(id.str(), this->self.str()), id);
    }
  }
  std::sort(weighted.begin(), weighted.end());
  std::vector<node_id> others;
  others.reserve(weighted.size());
  for (auto& [weight, id] : weighted) {
    others.push_back(std::move(id));
  }
  return others;
}

notice_addresses member_table::registered_notice_addresses() const {
  notice_addresses addresses;
  for (const auto& [id, entry] : this->members) {
    addresses.emplace(id, ip_endpoint{entry.registered.peer_address.ip, entry.registered.notice_port});
  }
  return addresses;
}

std::set<region_id> member_table::regions_with_nodes() const {
  std::set<region_id> regions;
  for (const auto& [id, entry] : this->members) {
    regions.insert(entry.registered.where.region);
  }
  return regions;
}

}  // namespace zinnia
