// Registration, liveness and the answer to callers.
#include "zinnia/membership/member_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

/// 0 within a failure domain, 1 within a region, 2 beyond.
[[nodiscard]] int distance(const location& a, const location& b) {
  return a.domain == b.domain ? 0 : a.region == b.region ? 1 : 2;
}

/// Sorts a node's peers: the nearest first, among them those that follow it in a ring of all names. A ring,
/// so that in a large domain every node is heard by as many others.
[[nodiscard]] std::tuple<int, bool, const node_id&> peer_order(const member& from, const member& to) {
  return {distance(from.where, to.where), to.id < from.id, to.id};
}

}  // namespace
}  // namespace impl

void member_table::add(const member& registered, time_point now) {
  auto& known = this->members[registered.id];
  if (known.registered.incarnation != registered.incarnation) {
    known = record{};
    known.registered_at = now;
  }
  known.registered = registered;
}

void member_table::remove(const node_id& id) {
  this->members.erase(id);
}

void member_table::on_beat(const member_beat& beat, time_point now) {
  const auto found = this->members.find(beat.id);
  if (found == this->members.end() || found->second.registered.incarnation != beat.incarnation) {
    return;
  }
  found->second.heard = true;
  found->second.heard_at = now;
  found->second.ready = beat.ready;
  found->second.leaving = beat.leaving;
  found->second.load = beat.load;
  found->second.watching = beat.watching;
  found->second.changes = beat.changes;
}

void member_table::set_self(bool ready, bool leaving, const node_load& load) noexcept {
  this->self_ready = ready;
  this->self_leaving = leaving;
  this->self_load = load;
}

bool member_table::takes_requests(const node_id& id, const record& known, time_point now) const {
  if (id == this->self) {
    return this->self_ready && !this->self_leaving;
  }
  return known.heard && known.ready && !known.leaving && now - known.heard_at < heartbeat_silence;
}

live_members member_table::alive(time_point now) {
  auto found = this->listening(now);
  std::map<failure_domain_id, std::vector<serving_candidate>> candidates;
  for (const auto& [id, known] : found) {
    const auto& load = id == this->self ? this->self_load : this->members.at(id).load;
    candidates[known.where.domain].push_back({id, known.capacity, load});
  }
  std::map<failure_domain_id, std::set<node_id>> chosen;
  for (auto& [domain, nodes] : candidates) {
    chosen[domain] = choose_serving(std::move(nodes), this->serving[domain]);
  }
  this->serving = std::move(chosen);
  for (auto& [id, known] : found) {
    known.serves = this->serving[known.where.domain].contains(id);
  }
  return found;
}

live_members member_table::listening(time_point now) const {
  live_members found;
  for (const auto& [id, known] : this->members) {
    if (this->takes_requests(id, known, now)) {
      found.emplace(id, known.registered);
    }
  }
  return found;
}

std::vector<std::string> addresses_for(const live_members& alive, const location& caller) {
  std::vector<std::string> in_domain;
  std::vector<std::string> in_region;
  std::vector<std::string> anywhere;
  for (const auto& [id, known] : alive) {
    if (!known.serves) {
      continue;
    }
    auto& list = known.where.domain == caller.domain   ? in_domain
                 : known.where.region == caller.region ? in_region
                                                       : anywhere;
    if (list.size() < most_named_addresses) {
      list.push_back(known.caller_address);
    }
  }
  return !in_domain.empty() ? in_domain : !in_region.empty() ? in_region : anywhere;
}

std::vector<member> member_table::peers() const {
  const auto own = this->members.find(this->self);
  if (own == this->members.end()) {
    // Not in the register yet: nobody can make use of a heartbeat.
    return {};
  }
  const auto& here = own->second.registered;
  std::vector<const member*> others;
  for (const auto& [id, known] : this->members) {
    if (id != this->self) {
      others.push_back(&known.registered);
    }
  }
  const auto count = std::min(others.size(), most_heartbeat_peers);
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

bool member_table::hears(const member& other) const {
  const auto own = this->members.find(this->self);
  if (own == this->members.end()) {
    return false;
  }
  const auto here = impl::peer_order(other, own->second.registered);
  const auto nearer = std::count_if(this->members.begin(), this->members.end(), [&](const auto& one) {
    return one.first != other.id && impl::peer_order(other, one.second.registered) < here;
  });
  return static_cast<std::size_t>(nearer) < most_heartbeat_peers;
}

bool member_table::is_nearest_to(const member& silent, const live_members& living) const {
  const auto nearest = std::min_element(living.begin(), living.end(), [&](const auto& a, const auto& b) {
    return std::pair{impl::distance(a.second.where, silent.where), a.first} <
           std::pair{impl::distance(b.second.where, silent.where), b.first};
  });
  return nearest != living.end() && nearest->first == this->self;
}

std::vector<node_id> member_table::to_forget(time_point now) const {
  const auto living = this->listening(now);
  std::vector<node_id> silent;
  for (const auto& [id, known] : this->members) {
    const bool is_silent =
        known.heard ? now - known.heard_at > forget_after : now - known.registered_at > forget_unheard_after;
    if (id != this->self && is_silent && this->hears(known.registered) &&
        this->is_nearest_to(known.registered, living)) {
      silent.push_back(id);
    }
  }
  return silent;
}

failure_domain_id member_table::own_domain() const {
  const auto own = this->members.find(this->self);
  return own == this->members.end() ? failure_domain_id{} : own->second.registered.where.domain;
}

std::optional<member> member_table::news_source(time_point now) const {
  const auto chosen = this->serving.find(this->own_domain());
  if (chosen == this->serving.end()) {
    return std::nullopt;
  }
  const bool serves = chosen->second.contains(this->self);
  const auto own_rank = stable_hash(this->self.str());
  std::optional<member> source;
  std::uint64_t best = 0;
  std::size_t sources = 0;
  for (const auto& id : chosen->second) {
    // Nodes that serve follow in one order only, so that no two wait for each other.
    if (serves && stable_hash(id.str()) >= own_rank) {
      continue;
    }
    const auto found = this->members.find(id);
    if (found == this->members.end() || !found->second.watching ||
        !this->takes_requests(id, found->second, now)) {
      continue;
    }
    // Spreads the nodes that stand by over their sources.
    const auto weight = rendezvous_weight(id.str(), this->self.str());
    if (!source || weight > best) {
      source = found->second.registered;
      best = weight;
    }
    ++sources;
  }
  return serves && sources < most_watching ? std::nullopt : source;
}

bool member_table::is_behind(const std::vector<object_version>& known, time_point now) const {
  return std::any_of(this->members.begin(), this->members.end(), [&](const auto& one) {
    const auto& other = one.second;
    if (!other.watching || other.changes.size() != known.size() ||
        now - other.heard_at >= heartbeat_silence) {
      return false;
    }
    for (std::size_t i = 0; i < known.size(); ++i) {
      if (other.changes[i] > known[i]) {
        return true;
      }
    }
    return false;
  });
}

std::set<region_id> member_table::staffed_regions() const {
  std::set<region_id> regions;
  for (const auto& [id, known] : this->members) {
    regions.insert(known.registered.where.region);
  }
  return regions;
}

}  // namespace zinnia
