// Inputs and objects of the node machine. Edits of the table are in table_edits.cpp, the view in publish.cpp.
#include "zinnia/steering/node_machine.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "zinnia/core/rendezvous.hpp"
#include "zinnia/steering/overlay.hpp"
#include "zinnia/steering/shift_plan.hpp"

namespace zinnia {
namespace impl {
namespace {

/// An heir that has released its holder promises nothing before the holder's next renewal.
[[nodiscard]] bool is_promising_heir(const node_entry& holder, const node_id& heir) {
  return holder.heirs.contains(heir) && !holder.released.contains(heir);
}

constexpr duration poll_period{2000};
constexpr std::uint64_t beats_between_figures = 4;
constexpr std::uint64_t beats_to_tell_of_a_change = 8;
constexpr std::size_t most_remembered_heartbeats = 64;
constexpr std::uint64_t write_jitter_ms = 100;
constexpr duration shortest_write_pause{30};
constexpr duration longest_write_pause{1000};

}  // namespace
}  // namespace impl

std::string holdings_key(const region_id& region) {
  return holdings_prefix + region.str();
}

node_machine::node_machine(node_identity self, lease_terms lease_spans, const occupancy& occupied,
                           std::uint64_t seed)
    : me{std::move(self)}, terms{lease_spans}, traffic{occupied}, random{seed}, lease{lease_spans} {}

std::string node_machine::own_table_key() const {
  return holdings_key(this->me.region);
}

const holdings_table* node_machine::own_table() const {
  const auto found = this->tables.find(this->me.region);
  return found == this->tables.end() ? nullptr : found->second.get();
}

bool node_machine::is_member() const {
  const auto* const table = this->own_table();
  return table != nullptr && table->is_member(this->me.id, this->me.incarnation);
}

const node_entry* node_machine::own_entry() const {
  return this->is_member() ? &this->own_table()->nodes.at(this->me.id) : nullptr;
}

bool node_machine::is_gone(const node_id& node) const {
  const auto* const table = this->own_table();
  const auto found = table->nodes.find(node);
  return found != table->nodes.end() && this->gone.contains(found->second.incarnation);
}

// Objects.

object_version node_machine::known_version(const std::string& key) const {
  if (key == settings_key) {
    return this->settings_version;
  }
  if (key.starts_with(holdings_prefix)) {
    const auto found = this->table_versions.find(region_id{key.substr(std::string{holdings_prefix}.size())});
    return found == this->table_versions.end() ? object_version{} : found->second;
  }
  const auto found = this->seen_versions.find("known:" + key);
  return found == this->seen_versions.end() ? object_version{} : found->second;
}

void node_machine::accept_object(time_point now, const std::string& key, object_version version,
                                 const std::string& value) {
  // Versions never fall, whoever sends the object.
  if (version <= this->known_version(key)) {
    return;
  }
  if (key == settings_key) {
    this->accept_settings(version, value);
  } else if (key == vm_list_key) {
    this->accept_vm_list(value);
    this->seen_versions["known:" + key] = version;
  } else if (key.starts_with(holdings_prefix)) {
    this->accept_table(now, region_id{key.substr(std::string{holdings_prefix}.size())}, version, value);
  }
}

void node_machine::accept_settings(object_version version, const std::string& value) {
  this->settings_version = version;
  this->settings_text = value;
  // Told at once, so that a change crosses the relay tree in round trips and not in heartbeat periods.
  this->next_heartbeat = this->last_tick;
  this->tells_all_once = true;
  const auto document = decode_settings_document(value);
  if (!document) {
    this->settings_error = document.last_error().describe();
    return;
  }
  auto tree = settings_tree::parse(*document, "settings version " + std::to_string(version.count()));
  if (!tree) {
    this->settings_error = tree.last_error().describe();
    return;
  }
  this->settings_error.clear();
  this->settings = std::make_shared<const settings_tree>(std::move(tree).value());
}

void node_machine::accept_table(time_point now, const region_id& region, object_version version,
                                const std::string& value) {
  auto table = decode_holdings_table(value);
  if (!table) {
    return;
  }
  this->tables[region] = std::make_shared<const holdings_table>(std::move(table).value());
  this->table_versions[region] = version;
  this->changed_at[region] = this->heartbeat_sequence;
  this->table_texts[region] = value;
  if (region == this->me.region) {
    this->settle_write();
    this->update_heir_watches(now);
  }
}

void node_machine::accept_vm_list(const std::string& value) {
  const auto list = nlohmann::json::parse(value, nullptr, false);
  if (!list.is_object()) {
    return;
  }
  // The list lags, so an incarnation counts as gone only if the list has shown its VM since it joined.
  for (const auto& [region, table] : this->tables) {
    for (const auto& [id, node] : table->nodes) {
      if (list.contains(id.str())) {
        this->listed.insert(node.incarnation);
        this->gone.erase(node.incarnation);
      } else if (this->listed.contains(node.incarnation)) {
        this->gone.insert(node.incarnation);
      }
    }
  }
}

void node_machine::objects_seen(const std::vector<known_object>& seen) {
  for (const auto& object : seen) {
    auto& newest = this->seen_versions[object.key];
    newest = std::max(newest, object.version);
  }
  this->request_missing();
}

void node_machine::request_missing() {
  for (const auto& [key, version] : this->seen_versions) {
    if (key.starts_with("known:") || version <= this->known_version(key)) {
      continue;
    }
    if (this->being_read.insert(key).second) {
      this->actions.emplace_back(read_action{key});
    }
  }
}

void node_machine::object_read(time_point now, const std::string& key, store_outcome outcome,
                               object_version version, const std::string& value) {
  this->being_read.erase(key);
  if (outcome == store_outcome::not_found) {
    if (key == this->own_table_key() && this->own_table() == nullptr) {
      // The first node of a region begins its table.
      this->tables[this->me.region] = std::make_shared<const holdings_table>();
    }
    return;
  }
  if (outcome != store_outcome::ok) {
    return;
  }
  this->accept_object(now, key, version, value);
  if (key == this->own_table_key()) {
    this->settle_write();
    this->must_confirm = this->must_confirm && !this->is_member();
  }
  this->publish(now);
}

void node_machine::object_written(time_point now, const std::string& key, store_outcome outcome,
                                  object_version version, time_point sent) {
  if (!this->pending) {
    return;
  }
  if (outcome == store_outcome::ok) {
    this->failed_writes = 0;
    if (this->pending->renews) {
      this->lease.renewed(sent);
      this->must_confirm = false;
    }
    const auto text = this->pending->text;
    this->pending.reset();
    this->accept_object(now, key, version, text);
    this->publish(now);
    return;
  }
  ++this->failed_writes;
  const auto jitter = static_cast<std::int64_t>(this->random() % impl::write_jitter_ms);
  const auto pause = std::min(impl::longest_write_pause, impl::shortest_write_pause * this->failed_writes);
  this->next_edit = now + pause + duration{jitter};
  if (outcome == store_outcome::unavailable) {
    this->pending.reset();
    return;
  }
  // A conflict or a lost answer: what holds is what the store says, so nothing is edited until it is read.
  this->pending->answered = true;
  if (this->being_read.insert(key).second) {
    this->actions.emplace_back(read_action{key});
  }
}

/// A newer table, or the same one read from the store again, shows what came of an open write.
void node_machine::settle_write() {
  if (this->pending && this->pending->answered) {
    this->pending.reset();
  }
}

// Ticks, membership and leases.

void node_machine::observe_gap(time_point now) {
  const bool paused = this->last_tick.ms != 0 && now - this->last_tick > this->terms.term;
  this->last_tick = now;
  if (paused) {
    this->lease.revoke();
    this->must_confirm = true;
    this->sent_heartbeats.clear();
    this->next_poll = now;
    // Holders could not reach this node meanwhile; they get a whole term to do so.
    for (auto& [id, peer] : this->peers) {
      if (peer.watch) {
        peer.watch->promise(now);
      }
    }
  }
}

void node_machine::tick(time_point now, std::int64_t now_unix_ms) {
  this->unix_now = now_unix_ms;
  this->observe_gap(now);
  if (this->settings != nullptr && is_entry_drained(*this->settings, this->me.id, now_unix_ms)) {
    this->drained = true;
    this->stopping = true;
  }
  if (now >= this->next_poll) {
    this->next_poll = now + impl::poll_period;
    // Everyone reads its own table now and then; the rest comes by watch or from peers.
    const bool knows_all = this->settings != nullptr && this->own_table() != nullptr;
    // A node that no longer leads the edits hears of changes from its relay.
    const bool write_open = this->pending && this->pending->answered;
    if (this->should_watch() || !knows_all || this->must_confirm || write_open) {
      for (const auto& key : {std::string{settings_key}, this->own_table_key(), std::string{vm_list_key}}) {
        if (this->being_read.insert(key).second) {
          this->actions.emplace_back(read_action{key});
        }
      }
    }
    this->request_missing();
  }
  if (now >= this->next_heartbeat) {
    this->next_heartbeat = now + this->terms.heartbeat;
    this->send_heartbeats(now);
  }
  if (!this->pending && now >= this->next_edit && this->own_table() != nullptr) {
    this->edit_table(now);
  }
  this->publish(now);
}

std::vector<node_id> node_machine::neighbours() const {
  const auto found = overlay_neighbours(this->tables, this->me.region, this->me.id);
  return {found.begin(), found.end()};
}

void node_machine::send_heartbeats(time_point now) {
  heartbeat message;
  message.sequence = ++this->heartbeat_sequence;
  message.incarnation = this->me.incarnation;
  message.region = this->me.region;
  message.leaving = this->stopping;
  message.deferred_journal = this->traffic.is_journal_behind();
  message.loads = this->traffic.loads(now);
  message.known = this->known_to_tell();
  if (!message.deferred_journal) {
    this->deferral_known_by.clear();
  }
  this->sent_heartbeats[message.sequence] = {now, message.deferred_journal};
  if (this->sent_heartbeats.size() > impl::most_remembered_heartbeats) {
    this->sent_heartbeats.erase(this->sent_heartbeats.begin());
  }
  const auto* const own = this->own_entry();
  const auto near = this->neighbours();
  // Heirs are asked each time; in a large overlay the others are told less often, as figures may be late.
  const bool small = this->own_table() == nullptr || this->own_table()->nodes.size() <= small_region;
  const bool tells_all = small || this->tells_all_once || message.sequence % impl::beats_between_figures == 0;
  this->tells_all_once = false;
  for (const auto& node : near) {
    if (tells_all || (own != nullptr && own->heirs.contains(node))) {
      this->actions.emplace_back(send_action{node, message});
    }
  }
}

/// What changed lately, what matters most, and one of the rest in turn: a lost message or a neighbour that
/// was away is caught up with within one round, and a heartbeat does not grow with the number of regions.
std::vector<known_object> node_machine::known_to_tell() {
  std::vector<known_object> known{{settings_key, this->settings_version}};
  std::size_t position = 0;
  const auto turn = this->table_versions.empty() ? 0 : this->heartbeat_sequence % this->table_versions.size();
  for (const auto& [region, version] : this->table_versions) {
    const auto changed = this->changed_at.find(region);
    const bool is_new = changed != this->changed_at.end() &&
                        this->heartbeat_sequence - changed->second <= impl::beats_to_tell_of_a_change;
    if (position == turn || region == this->me.region || is_new) {
      known.push_back({holdings_key(region), version});
    }
    ++position;
  }
  return known;
}

void node_machine::receive(time_point now, const node_id& from, const peer_message& message) {
  if (const auto* const beat = std::get_if<heartbeat>(&message)) {
    this->on_heartbeat(now, from, *beat);
  } else if (const auto* const promise = std::get_if<heir_promise>(&message)) {
    this->on_promise(now, from, *promise);
  } else if (const auto* const wanted = std::get_if<object_request>(&message)) {
    const auto version = this->known_version(wanted->key);
    if (version.count() == 0) {
      return;
    }
    if (wanted->key == settings_key) {
      this->actions.emplace_back(send_action{from, object_push{wanted->key, version, this->settings_text}});
    } else if (wanted->key.starts_with(holdings_prefix)) {
      const region_id region{wanted->key.substr(std::string{holdings_prefix}.size())};
      this->actions.emplace_back(
          send_action{from, object_push{wanted->key, version, this->table_texts.at(region)}});
    }
  } else if (const auto* const push = std::get_if<object_push>(&message)) {
    this->accept_object(now, push->key, push->version, push->value);
    this->publish(now);
  }
}

void node_machine::on_heartbeat(time_point now, const node_id& from, const heartbeat& message) {
  auto& peer = this->peers[from];
  // Messages may arrive out of order or twice; an old one must not undo what a newer one said.
  const bool stale = peer.last.incarnation == message.incarnation && message.sequence <= peer.last.sequence;
  if (stale) {
    return;
  }
  peer.last_heard = now;
  peer.last = message;
  this->compare_versions(from, message);
  const auto* const table = this->own_table();
  if (table == nullptr || !table->is_member(from, message.incarnation)) {
    return;
  }
  const bool heir_of_sender =
      this->is_member() && impl::is_promising_heir(table->nodes.at(from), this->me.id);
  const bool withheld = this->pending && this->pending->withholds.contains(from);
  // A node that may have been taken over itself may have lost its say as an heir without knowing it.
  const bool has_say = !this->must_confirm && now < this->lease.valid_until();
  if (heir_of_sender && peer.watch && !withheld && has_say) {
    peer.watch->promise(now);
    peer.heard_as_heir = true;
    this->actions.emplace_back(send_action{from, heir_promise{message.sequence, message.incarnation}});
  }
  this->publish(now);
}

void node_machine::compare_versions(const node_id& from, const heartbeat& message) {
  for (const auto& object : message.known) {
    if (object.version > this->known_version(object.key)) {
      this->actions.emplace_back(send_action{from, object_request{object.key}});
    }
  }
}

void node_machine::on_promise(time_point now, const node_id& from, const heir_promise& message) {
  const auto* const entry = this->own_entry();
  const bool valid =
      entry != nullptr && entry->heirs.contains(from) && message.incarnation == this->me.incarnation;
  // While a change of heirs is under way only those count that are heirs before and after it.
  const bool dropped = this->pending && this->pending->changes_heirs && !this->pending->heirs.contains(from);
  if (!valid || dropped) {
    return;
  }
  const auto sent = this->sent_heartbeats.find(message.sequence);
  if (sent == this->sent_heartbeats.end()) {
    return;
  }
  this->promised_at[from] = now;
  this->lease.renewed(sent->second.first);
  this->must_confirm = false;
  if (sent->second.second) {
    this->deferral_known_by.insert(from);
  }
  this->sent_heartbeats.erase(this->sent_heartbeats.begin(), std::next(sent));
  this->publish(now);
}

void node_machine::update_heir_watches(time_point now) {
  const auto& table = *this->own_table();
  std::map<node_id, time_point> missing;
  for (const auto& [id, node] : table.nodes) {
    for (const auto& heir : node.heirs) {
      if (!table.nodes.contains(heir)) {
        const auto known = this->missing_heirs.find(heir);
        missing[heir] = known == this->missing_heirs.end() ? now : known->second;
      }
    }
  }
  this->missing_heirs = std::move(missing);
  for (auto& [id, peer] : this->peers) {
    const auto found = table.nodes.find(id);
    const bool ours = found != table.nodes.end() && found->second.heirs.contains(this->me.id);
    if (!ours) {
      peer.watch.reset();
    }
  }
  for (const auto& [id, node] : table.nodes) {
    if (!node.heirs.contains(this->me.id)) {
      continue;
    }
    auto& peer = this->peers[id];
    if (!peer.watch || peer.watched != node.incarnation) {
      peer.watch.emplace(this->terms, now);
      peer.watched = node.incarnation;
      peer.heard_as_heir = false;
    }
    peer.watch->observe_renewal(now, node.renewal);
  }
}

bool node_machine::should_watch() const {
  const auto* const table = this->own_table();
  if (table == nullptr) {
    return true;
  }
  const auto order = relay_order(*table, this->me.domain);
  const auto at = std::find(order.begin(), order.end(), this->me.id);
  return static_cast<std::size_t>(at - order.begin()) < watchers_per_domain || at == order.end();
}

std::vector<node_action> node_machine::take_actions() {
  return std::exchange(this->actions, {});
}

}  // namespace zinnia
