// The edits that a node may make to its region's holdings table.
//
// A node only ever adds itself, renews itself or changes its heirs, releases and takes over holders that it
// is heir of, gives away what it holds, and changes its own shares. Each edit is one conditional write, so
// two nodes' edits never mix.
#include <algorithm>

#include "zinnia/core/rendezvous.hpp"
#include "zinnia/steering/balance.hpp"
#include "zinnia/steering/node_machine.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Clocks of callers and nodes may differ by so much in the times that minted keys carry.
constexpr std::int64_t wall_clock_allowance_ms = 5'000;
constexpr std::size_t heirs_per_node = 2;

[[nodiscard]] std::int64_t fair_share(const holdings_table& table, const node_id& self, std::int64_t cap) {
  std::int64_t members = 0;
  std::int64_t position = 0;
  for (const auto& [id, node] : table.nodes) {
    if (!node.leaving) {
      position += id < self ? 1 : 0;
      ++members;
    }
  }
  const auto own = table.nodes.find(self);
  if (members == 0 || own == table.nodes.end() || own->second.leaving) {
    return 0;
  }
  return cap / members + (position < cap % members ? 1 : 0);
}

[[nodiscard]] bool holds_nothing(const holdings_table& table, const node_id& node) {
  const bool holds = std::any_of(table.holdings.begin(), table.holdings.end(),
                                 [&](const auto& entry) { return entry.second.holder == node; });
  const bool shares = std::any_of(table.shares.begin(), table.shares.end(),
                                  [&](const auto& entry) { return entry.second.contains(node); });
  return !holds && !shares;
}

}  // namespace
}  // namespace impl

void node_machine::edit_table(time_point now) {
  const auto& base = *this->own_table();
  auto edited = base;
  if (this->stopping && !this->is_member()) {
    this->left = this->traffic.total_in_flight() == 0;
    return;
  }
  if (!this->is_member()) {
    this->join(edited, now);
  }
  auto& own = edited.nodes.at(this->me.id);
  own.leaving = this->stopping;
  own.may_defer = this->any_service_defers() || this->traffic.is_journal_behind();
  this->choose_heirs(edited, now);
  if (this->wants_renewal(now)) {
    ++own.renewal;
    own.released.clear();
  }
  if (!this->must_confirm) {
    this->release_holders(edited, now);
    this->take_over(edited);
    this->place_holdings(edited, now);
    this->adjust_shares(edited, now);
    this->drop_orphan_shares(edited, now);
  }
  if (this->stopping && this->can_leave(edited, now)) {
    edited.nodes.erase(this->me.id);
  }
  if (!(edited == base)) {
    this->write_table(base, std::move(edited));
  }
}

void node_machine::write_table(const holdings_table& base, holdings_table edited) {
  edited.write_id = this->me.incarnation.str() + '-' + std::to_string(++this->write_counter);
  pending_write write;
  write.text = encode(edited);
  const auto before = base.nodes.find(this->me.id);
  const auto after = edited.nodes.find(this->me.id);
  const bool known_before = before != base.nodes.end();
  if (after != edited.nodes.end()) {
    write.renews = !known_before || after->second.renewal != before->second.renewal;
    write.changes_heirs = !known_before || after->second.heirs != before->second.heirs;
    write.heirs = after->second.heirs;
  }
  for (const auto& [id, node] : base.nodes) {
    const auto kept = edited.nodes.find(id);
    if (id != this->me.id && (kept == edited.nodes.end() || kept->second.released != node.released)) {
      write.withholds.insert(id);
    }
  }
  if (write.changes_heirs) {
    this->lease.set_unopposed(false);
    std::erase_if(this->deferral_known_by,
                  [&write](const node_id& heir) { return !write.heirs.contains(heir); });
  }
  this->actions.emplace_back(
      write_action{this->own_table_key(), write.text, this->table_versions[this->me.region]});
  this->pending = std::move(write);
}

void node_machine::join(holdings_table& table, time_point now) {
  const auto former = table.nodes.find(this->me.id);
  if (former != table.nodes.end()) {
    // A former process of this node may still be within its term, with requests in flight.
    this->hold_off_until = now + this->terms.term + this->terms.drift;
    const bool blind = former->second.may_defer;
    const auto blind_before = blind ? this->unix_now + impl::wall_clock_allowance_ms : 0;
    table.nodes.erase(former);
    this->reassign(table, this->me.id, blind_before);
  }
  const bool has_old_shares =
      std::any_of(table.shares.begin(), table.shares.end(),
                  [this](const auto& entry) { return entry.second.contains(this->me.id); });
  if (has_old_shares) {
    this->shares_from = now + this->quarantine();
  }
  node_entry entry;
  entry.domain = this->me.domain;
  entry.incarnation = this->me.incarnation;
  entry.renewal = 1;
  entry.caller_address = this->me.caller_address;
  entry.peer_address = this->me.peer_address;
  table.nodes[this->me.id] = entry;
  for (auto& [holding, held] : table.holdings) {
    if (held.holder == this->me.id) {
      table.assign(holding, this->me.id, true);
    }
  }
}

bool node_machine::is_fit_heir(const holdings_table& table, const node_id& node) const {
  const auto found = table.nodes.find(node);
  return found != table.nodes.end() && node != this->me.id && !found->second.leaving && !this->is_gone(node);
}

bool node_machine::answers(const node_id& node, time_point now) const {
  const auto promised = this->promised_at.find(node);
  const auto peer = this->peers.find(node);
  const bool promised_lately =
      promised != this->promised_at.end() && now - promised->second <= this->terms.term;
  const bool heard_lately = peer != this->peers.end() && now - peer->second.last_heard <= this->terms.term;
  return promised_lately || heard_lately;
}

/// Two heirs, so that the loss of one during an outage of the store stops nobody; those in other failure
/// domains first, and one that answers before one that does not.
void node_machine::choose_heirs(holdings_table& table, time_point now) const {
  auto& own = table.nodes.at(this->me.id);
  using heir_rank = std::tuple<bool, bool, bool, std::uint64_t, node_id>;
  std::vector<heir_rank> ranked;
  for (const auto& [id, node] : table.nodes) {
    if (this->is_fit_heir(table, id)) {
      ranked.emplace_back(this->answers(id, now), node.domain != this->me.domain, own.heirs.contains(id),
                          rendezvous_weight(id.str(), this->me.id.str()), id);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::set<node_id> chosen;
  bool all_answer = true;
  for (const auto& rank : ranked) {
    if (chosen.size() < impl::heirs_per_node) {
      chosen.insert(std::get<4>(rank));
      all_answer = all_answer && std::get<0>(rank);
    }
  }
  // Swapping one silent heir for another gains nothing.
  const bool keeps_count = chosen.size() == own.heirs.size();
  const bool still_fit = std::all_of(own.heirs.begin(), own.heirs.end(),
                                     [&](const node_id& heir) { return this->is_fit_heir(table, heir); });
  if (chosen == own.heirs || (keeps_count && still_fit && !all_answer)) {
    return;
  }
  own.heirs = std::move(chosen);
  own.released.clear();
  // A new heir's first promise takes a while; the write itself renews for one term.
  ++own.renewal;
}

bool node_machine::wants_renewal(time_point now) const {
  const auto* const own = this->own_entry();
  if (own == nullptr || own->heirs.empty()) {
    return this->must_confirm;
  }
  const duration half_term{this->terms.term.ms / 2};
  return this->must_confirm || !own->released.empty() || this->lease.valid_until() - now < half_term;
}

// Takeover.

bool node_machine::any_service_defers() const {
  return this->settings != nullptr &&
         std::any_of(this->settings->services().begin(), this->settings->services().end(),
                     [&](const service_id& service) {
                       const auto values = this->settings->effective(service, this->me.region).values;
                       return values.on_store_outage() == outage_policy::serve;
                     });
}

/// A holder defers only after an heir answered a heartbeat that said so, and that heir's word is asked for
/// here.
bool node_machine::may_have_deferred(const node_id& node, const node_entry& entry) const {
  const auto peer = this->peers.find(node);
  const bool knows = peer != this->peers.end() && peer->second.watch &&
                     peer->second.watched == entry.incarnation && peer->second.heard_as_heir &&
                     peer->second.last.incarnation == entry.incarnation;
  return entry.may_defer && (!knows || peer->second.last.deferred_journal);
}

/// Releases the holders that this node is heir of and whose terms, as far as it promised, are over.
void node_machine::release_holders(holdings_table& table, time_point now) const {
  for (auto& [id, entry] : table.nodes) {
    const auto peer = this->peers.find(id);
    const bool lapsed = entry.heirs.contains(this->me.id) && peer != this->peers.end() &&
                        peer->second.watch && peer->second.watched == entry.incarnation &&
                        peer->second.watch->may_release(now);
    if (lapsed && !entry.released.contains(this->me.id)) {
      entry.released[this->me.id] = this->may_have_deferred(id, entry);
    }
  }
}

bool node_machine::is_lost(const holdings_table& table, const node_id& node) const {
  if (table.nodes.contains(node)) {
    return this->is_gone(node);
  }
  // Its last promise, given while its own lease held, is over one term after it left the table.
  const auto missing = this->missing_heirs.find(node);
  return missing != this->missing_heirs.end() &&
         this->last_tick >= missing->second + this->terms.term + this->terms.drift;
}

/// A holder may be taken over once each of its heirs has released it or is certainly gone, or once it is
/// certainly gone itself; then by an heir, or if none is left by the node that ranks first.
bool node_machine::may_take_over(const holdings_table& table, const node_id& node) const {
  const auto& entry = table.nodes.at(node);
  const auto lost = [&](const node_id& heir) { return this->is_lost(table, heir); };
  const bool all_released =
      !entry.heirs.empty() && std::all_of(entry.heirs.begin(), entry.heirs.end(), [&](const node_id& heir) {
        return entry.released.contains(heir) || lost(heir);
      });
  const bool any_released = !entry.released.empty();
  if (!this->is_gone(node) && !(all_released && any_released)) {
    return false;
  }
  if (!std::all_of(entry.heirs.begin(), entry.heirs.end(), lost)) {
    return entry.heirs.contains(this->me.id);
  }
  node_id first;
  for (const auto& [id, other] : table.nodes) {
    const bool ranks_first =
        first.empty() || rendezvous_weight(id.str(), node.str()) > rendezvous_weight(first.str(), node.str());
    if (!this->is_gone(id) && ranks_first) {
      first = id;
    }
  }
  return first == this->me.id;
}

/// Whether keys may have run without a trace at a node that is taken over.
bool node_machine::is_blind(const holdings_table& table, const node_id& node) const {
  const auto& entry = table.nodes.at(node);
  if (!entry.may_defer) {
    return false;
  }
  // Without the word of every heir the one that was told may be missing.
  return entry.heirs.empty() || std::any_of(entry.heirs.begin(), entry.heirs.end(), [&](const node_id& heir) {
           const auto word = entry.released.find(heir);
           const bool own_word = heir == this->me.id && word == entry.released.end();
           return own_word ? this->may_have_deferred(node, entry)
                           : word == entry.released.end() || word->second;
         });
}

void node_machine::reassign(holdings_table& table, const node_id& from, std::int64_t blind_before) const {
  std::vector<holding_id> all;
  for (const auto& [holding, held] : table.holdings) {
    all.push_back(holding);
  }
  const auto targets = balance(table, all);
  for (const auto& holding : all) {
    if (table.holdings.at(holding).holder != from) {
      continue;
    }
    const auto target = targets.find(holding);
    table.assign(holding, target == targets.end() ? this->me.id : target->second, true);
    if (bucket_of(holding) >= 0 && blind_before != 0) {
      table.holdings.at(holding).blind_before_unix_ms = blind_before;
    }
  }
}

void node_machine::take_over(holdings_table& table) const {
  std::vector<node_id> lost;
  for (const auto& [id, node] : table.nodes) {
    if (id != this->me.id && this->may_take_over(table, id)) {
      lost.push_back(id);
    }
  }
  for (const auto& id : lost) {
    const bool blind = this->is_blind(table, id);
    table.nodes.erase(id);
    this->reassign(table, id, blind ? this->unix_now + impl::wall_clock_allowance_ms : 0);
  }
}

// Holdings.

duration node_machine::quarantine() const {
  return this->terms.term + this->terms.drift + this->longest_deadline();
}

bool node_machine::is_quarantined(const holding_id& holding, time_point now) const {
  const auto found = this->quarantines.find(holding);
  return found != this->quarantines.end() && now < found->second.second + this->quarantine();
}

std::vector<holding_id> node_machine::wanted_holdings() const {
  std::vector<holding_id> wanted;
  for (const auto& upstream : this->settings->upstreams()) {
    if (upstream.region == this->me.region) {
      wanted.push_back(slots_holding(upstream.service, upstream.id));
    }
  }
  for (std::int64_t bucket = 0; bucket < this->settings->key_buckets(); ++bucket) {
    wanted.push_back(bucket_holding(bucket));
  }
  return wanted;
}

void node_machine::release_or_keep(holdings_table& table, const holding_id& holding, const node_id& target,
                                   time_point now) {
  if (target == this->me.id) {
    this->releasing.erase(holding);
    return;
  }
  if (this->is_released(holding, now)) {
    table.assign(holding, target, false);
  }
}

/// Whether the store, and not merely the edit under way, says that this node holds it.
bool node_machine::holds(const holding_id& holding, const holding_entry& entry) const {
  const auto& accepted = this->own_table()->holdings;
  const auto found = accepted.find(holding);
  return entry.holder == this->me.id && found != accepted.end() && found->second == entry;
}

/// Closes a holding in one tick and finds it free in a later one: the traffic side must see it closed first.
bool node_machine::is_released(const holding_id& holding, time_point now) {
  const bool closed_before = !this->releasing.insert(holding).second;
  return closed_before && this->traffic.is_idle(holding) && !this->is_quarantined(holding, now);
}

/// A bucket stays in the table without a holder, as what is known of its blind time must not be lost.
void node_machine::give_up(holdings_table& table, const holding_id& holding) {
  if (bucket_of(holding) >= 0) {
    table.assign(holding, node_id{}, false);
  } else {
    table.holdings.erase(holding);
  }
}

void node_machine::place_holdings(holdings_table& table, time_point now) {
  if (this->settings == nullptr) {
    return;
  }
  const auto wanted = this->wanted_holdings();
  const auto targets = balance(table, wanted);
  for (const auto& [holding, target] : targets) {
    const auto found = table.holdings.find(holding);
    const bool known = found != table.holdings.end();
    const bool orphaned = known && !table.nodes.contains(found->second.holder);
    if (!known || orphaned) {
      if (target == this->me.id) {
        table.assign(holding, target, orphaned);
      }
    } else if (this->holds(holding, found->second)) {
      this->release_or_keep(table, holding, target, now);
    }
  }
  std::vector<holding_id> given_up;
  for (const auto& [holding, held] : table.holdings) {
    // The last node of a region has nobody to hand over to and gives its holdings up.
    const bool unwanted = std::find(wanted.begin(), wanted.end(), holding) == wanted.end();
    if (this->holds(holding, held) && (unwanted || targets.empty()) && this->is_released(holding, now)) {
      given_up.push_back(holding);
    }
  }
  for (const auto& holding : given_up) {
    this->give_up(table, holding);
  }
  std::erase_if(this->releasing, [&](const holding_id& holding) {
    const auto found = table.holdings.find(holding);
    return found != table.holdings.end() && found->second.holder != this->me.id &&
           this->own_table()->holdings.contains(holding) &&
           this->own_table()->holdings.at(holding).holder != this->me.id;
  });
}

// Shares.

void node_machine::adjust_share(holdings_table& table, const share_key& key, std::int64_t fair) {
  auto& owners = table.shares[key];
  const auto found = owners.find(this->me.id);
  const auto granted = found == owners.end() ? 0 : found->second;
  const auto* const link = this->settings->find_link(this->me.region, key.to);
  const bool capped = link != nullptr && link->caps.contains(key.service);
  const auto cap = capped ? link->caps.at(key.service) : 0;
  if (fair < granted) {
    // Lowered here first and in the table only once no more than that is in flight.
    const auto limit = this->share_limits.find(key);
    const bool lowered_before = limit != this->share_limits.end() && limit->second == fair;
    this->share_limits[key] = fair;
    if (lowered_before && this->traffic.in_flight(key) <= fair) {
      owners[this->me.id] = fair;
    }
  } else {
    this->share_limits.erase(key);
    const auto room = std::max<std::int64_t>(0, cap - table.share_sum(key));
    const auto raised = granted + std::min(fair - granted, room);
    if (raised > granted) {
      owners[this->me.id] = raised;
    }
  }
  if (owners.contains(this->me.id) && owners.at(this->me.id) == 0) {
    owners.erase(this->me.id);
  }
  if (owners.empty()) {
    table.shares.erase(key);
  }
}

void node_machine::adjust_shares(holdings_table& table, time_point now) {
  // A former process's requests may still use what is granted, so it must not be given away yet.
  if (this->settings == nullptr || now < this->shares_from) {
    return;
  }
  std::map<share_key, std::int64_t> fair;
  for (const auto& [key, owners] : table.shares) {
    fair[key] = 0;
  }
  for (const auto& link : this->settings->links()) {
    if (link.from != this->me.region) {
      continue;
    }
    for (const auto& [service, cap] : link.caps) {
      fair[{link.to, service}] = impl::fair_share(table, this->me.id, cap);
    }
  }
  for (const auto& [key, share] : fair) {
    this->adjust_share(table, key, share);
  }
}

void node_machine::drop_orphan_shares(holdings_table& table, time_point now) {
  std::map<std::pair<share_key, node_id>, time_point> still_orphans;
  for (auto& entry : table.shares) {
    std::erase_if(entry.second, [&](const auto& owner) {
      // Lost only once the store says so: a takeover that this node merely intends has fenced nobody.
      if (table.nodes.contains(owner.first) || this->own_table()->nodes.contains(owner.first)) {
        return false;
      }
      const std::pair<share_key, node_id> orphan{entry.first, owner.first};
      const auto seen = this->orphan_shares.find(orphan);
      const auto since = seen == this->orphan_shares.end() ? now : seen->second;
      still_orphans[orphan] = since;
      // Requests of the lost node may be in flight for as long as a deadline allows.
      return now >= since + this->quarantine();
    });
  }
  std::erase_if(table.shares, [](const auto& entry) { return entry.second.empty(); });
  this->orphan_shares = std::move(still_orphans);
}

bool node_machine::can_leave(const holdings_table& table, time_point now) const {
  const auto* const own = this->own_entry();
  if (own == nullptr || !own->leaving || this->leaving_since.ms == 0) {
    return false;
  }
  duration lifetime{0};
  if (this->settings != nullptr) {
    for (const auto& service : this->settings->services()) {
      const auto values = this->settings->effective(service, this->me.region).values;
      lifetime = std::max(lifetime, duration{values.lookup_lifetime_ms});
    }
  }
  // Callers may still hold look-up answers that name this entry.
  const bool forgotten = now >= this->leaving_since + lifetime;
  return forgotten && impl::holds_nothing(table, this->me.id) && this->traffic.total_in_flight() == 0;
}

}  // namespace zinnia
