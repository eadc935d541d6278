// Builds the view that traffic threads work from.
#include <algorithm>

#include "zinnia/steering/node_machine.hpp"
#include "zinnia/steering/shift_plan.hpp"

namespace zinnia {

duration node_machine::longest_deadline() const {
  duration longest{0};
  if (this->settings != nullptr) {
    for (const auto& service : this->settings->services()) {
      const auto values = this->settings->effective(service, this->me.region).values;
      longest = std::max(longest, duration{values.longest_deadline_ms});
    }
  }
  return longest;
}

/// Notes when each holding that nobody handed over was first seen to be this node's.
void node_machine::note_quarantines(time_point now) {
  std::map<holding_id, std::pair<epoch, time_point>> current_ones;
  if (this->is_member()) {
    for (const auto& [holding, held] : this->own_table()->holdings) {
      if (held.holder != this->me.id || !held.unplanned) {
        continue;
      }
      const auto known = this->quarantines.find(holding);
      const bool same = known != this->quarantines.end() && known->second.first == held.held_since;
      current_ones[holding] = {held.held_since, same ? known->second.second : now};
    }
  }
  this->quarantines = std::move(current_ones);
}

void node_machine::publish_upstreams() {
  this->current.upstreams.clear();
  const auto* const table = this->own_table();
  // What a former process of this node held is not this one's before it has joined.
  if (!this->is_member() || this->settings == nullptr) {
    return;
  }
  for (const auto& upstream : this->settings->upstreams()) {
    const auto holding = slots_holding(upstream.service, upstream.id);
    const auto found = table->holdings.find(holding);
    if (upstream.region != this->me.region || found == table->holdings.end() ||
        found->second.holder != this->me.id) {
      continue;
    }
    const auto values = this->settings->effective(upstream.service, upstream.region, upstream.domain).values;
    held_upstream held;
    held.id = upstream.id;
    held.service = upstream.service;
    held.slots = values.slots_per_upstream;
    held.held_since = found->second.held_since;
    held.closed = this->releasing.contains(holding) || is_closed(*this->settings, upstream, this->unix_now);
    const auto seen = this->quarantines.find(holding);
    if (seen != this->quarantines.end()) {
      held.quarantined_until = seen->second.second + this->quarantine();
    }
    this->current.upstreams.push_back(held);
  }
}

void node_machine::publish_buckets() {
  this->current.buckets.clear();
  const auto* const table = this->own_table();
  if (!this->is_member()) {
    return;
  }
  for (const auto& [holding, held] : table->holdings) {
    const auto bucket = bucket_of(holding);
    const bool ours = bucket >= 0 && held.holder == this->me.id;
    if (ours && !this->releasing.contains(holding)) {
      this->current.buckets.push_back({bucket, held.held_since, held.blind_before_unix_ms});
    }
  }
}

void node_machine::publish_shares(time_point now) {
  this->current.shares.clear();
  const auto* const table = this->own_table();
  if (!this->is_member() || now < this->shares_from) {
    return;
  }
  for (const auto& [key, owners] : table->shares) {
    const auto found = owners.find(this->me.id);
    if (found == owners.end()) {
      continue;
    }
    const auto limit = this->share_limits.find(key);
    this->current.shares[key] =
        limit == this->share_limits.end() ? found->second : std::min(found->second, limit->second);
  }
}

void node_machine::publish_nodes() {
  this->current.nodes.clear();
  for (const auto& [region, table] : this->tables) {
    for (const auto& [id, node] : table->nodes) {
      node_status status{node, region, {}, {}, node.leaving};
      const auto peer = this->peers.find(id);
      if (peer != this->peers.end() && peer->second.last.incarnation == node.incarnation) {
        status.last_heard = peer->second.last_heard;
        status.leaving = status.leaving || peer->second.last.leaving;
        for (const auto& load : peer->second.last.loads) {
          status.loads[load.service] = load;
        }
      }
      this->current.nodes.emplace(id, std::move(status));
    }
  }
}

void node_machine::publish(time_point now) {
  const auto* const own = this->own_entry();
  this->lease.set_unopposed(own != nullptr && own->heirs.empty() && !this->pending);
  if (own != nullptr && own->leaving && this->leaving_since.ms == 0) {
    this->leaving_since = now;
  }
  this->current.settings = this->settings;
  this->current.settings_version = this->settings_version;
  this->current.tables = this->tables;
  this->current.leaving = this->stopping;
  const bool heir_knows =
      own != nullptr &&
      (own->heirs.empty() || std::any_of(own->heirs.begin(), own->heirs.end(), [this](const node_id& heir) {
         return this->deferral_known_by.contains(heir);
       }));
  this->current.deferral_allowed = heir_knows && own->may_defer;
  const bool may_dispatch = own != nullptr && !this->must_confirm && now >= this->hold_off_until;
  this->current.valid_until = may_dispatch ? this->lease.valid_until() : time_point{};
  this->note_quarantines(now);
  this->publish_upstreams();
  this->publish_buckets();
  this->publish_shares(now);
  this->publish_nodes();
  ++this->revision;
}

}  // namespace zinnia
