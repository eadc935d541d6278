// What the control thread does when the store comes back from a copy that lacks the last seconds.
#include <algorithm>

#include "peer_state_exchange.hpp"
#include "zinnia/core/rendezvous.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/observe/log.hpp"
#include "zinnia/store/store_era.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How long operators may take to write again what the copy lacks.
constexpr duration operator_rewrite_time{10'000};
/// How long servers that have left stay away from use: the store removes the copy's entries after a few of a
/// server's heartbeats, or the server writes again that it is there.
constexpr duration server_rewrite_time{8000};
/// Upper limit on the time for which a drain stays in force that is not written again. A server that drains
/// does not return to use, so this ends only a drain whose server never writes again, nor is removed.
constexpr duration drain_time{60'000};
/// Settings trees and entries of nodes are written again by nodes.
constexpr duration node_rewrite_time{5000};
/// Time in which each node registers again on average, so that many nodes don't exceed the store's rate of
/// writes.
constexpr duration registration_interval{10};
constexpr duration max_registration_period{60'000};

}  // namespace
}  // namespace impl

duration control_thread::registration_period() const {
  const auto nodes = static_cast<std::int64_t>(this->published_nodes.registered_count);
  return std::min(impl::registration_interval * nodes, impl::max_registration_period);
}

duration control_thread::registration_delay() const {
  const auto period_ms = static_cast<std::uint64_t>(this->registration_period().ms);
  const auto delay_ms = stable_hash(this->self.id.str()) % (period_ms + 1);
  return this->store_restored_at.ms == 0 ? duration{} : duration{static_cast<std::int64_t>(delay_ms)};
}

void control_thread::on_store_version(watched_kind& watched, object_version version) {
  const auto now = this->clock.now();
  // Entries of nodes come back as slowly as the nodes register.
  const auto copy_time = impl::operator_rewrite_time + this->registration_period();
  if (!watched.guard.on_store_version(version, copy_time, now)) {
    return;
  }
  log_line{log_level::warn, "store_restored"}
      .field("kind", watched.kind)
      .field("era", era_of(version))
      .field("revision", revision_of(version));
  this->store_restored_at = now;
  // Entries of living servers may be missing for some seconds, as after an outage.
  this->store_regained_at = now;
  this->undelivered_version = {};
  this->list_kinds_of_earlier_eras(era_of(version));
  this->state_exchange->ask_again(now);
  if (&watched == &this->configuration_watch() && this->events.on_store_restored) {
    this->events.on_store_restored();
  }
}

void control_thread::list_kinds_of_earlier_eras(std::int64_t era) {
  for (auto& watched : this->watches) {
    // The store has given out the revision of such a watch again, or will, and then lets it wait for changes
    // after it.
    if (!watched.relayed && !watched.feed.is_listing() && era_of(watched.feed.synced_version()) < era) {
      this->cancel_call(watched);
      watched.feed.restart_list();
    }
  }
}

void control_thread::apply_or_hold(watched_kind& watched, const object_change& change) {
  const auto& object = change.object;
  const auto in_force = in_force_before(watched, change);
  watched.guard.release(object.name);
  const bool is_from_copy = watched.guard.is_from_copy(object.version, this->clock.now());
  if (is_from_copy && watched.undoes != nullptr && (this->*watched.undoes)(change)) {
    log_line{log_level::info, "restored_state_held"}
        .field("kind", watched.kind)
        .field("name", object.name)
        .field("deleted", change.deleted ? 1 : 0);
    watched.guard.hold(in_force, this->clock.now() + this->hold_time(watched, in_force));
    return;
  }
  (this->*watched.apply)(change);
}

object_change control_thread::in_force_before(const watched_kind& watched, const object_change& change) {
  const auto& held = watched.guard.held_changes();
  if (const auto found = held.find(change.object.name); found != held.end()) {
    return found->second.in_force;
  }
  if (change.deleted) {
    return {change.object, false};
  }
  return change.replaced ? object_change{*change.replaced, false}
                         : object_change{{change.object.name, {}, "", false}, true};
}

duration control_thread::hold_time(const watched_kind& watched, const object_change& in_force) const {
  if (watched.kind == this->adapter.backend_kind()) {
    return in_force.deleted ? impl::server_rewrite_time : impl::drain_time;
  }
  if (watched.kind == this->adapter.evacuation_kind()) {
    return impl::operator_rewrite_time;
  }
  return watched.kind == object_kinds::nodes ? impl::node_rewrite_time + this->registration_period()
                                             : impl::node_rewrite_time;
}

void control_thread::apply_held_changes(time_point now) {
  for (auto& watched : this->watches) {
    for (const auto& name : watched.guard.take_due(now)) {
      const auto found = watched.feed.objects().find(name);
      const bool is_missing = found == watched.feed.objects().end();
      if (watched.kind == object_kinds::settings) {
        this->tree_is_lost = true;
      } else {
        (this->*watched.apply)(is_missing ? object_change{{name, {}, "", false}, true}
                                          : object_change{found->second, false});
      }
    }
  }
}

bool control_thread::undoes_backend(const object_change& change) const {
  if (change.deleted) {
    // The server stays for the grace of removals.
    return false;
  }
  const auto declared = this->adapter.decode_backend(change.object, this->clock.now());
  if (!declared || declared->mode != backend_mode::ready) {
    return false;
  }
  // A removed server may still be in use for a grace period.
  const auto removed = this->removed_backends.find(declared->id);
  if (removed != this->removed_backends.end()) {
    return removed->second == declared->started_unix_ms;
  }
  const auto* const known = this->builder.find_backend(declared->id);
  return known != nullptr && known->mode == backend_mode::draining &&
         known->started_unix_ms == declared->started_unix_ms;
}

bool control_thread::undoes_evacuation(const object_change& change) const {
  return change.deleted || this->ended_evacuations.contains(failure_domain_id{change.object.name});
}

bool control_thread::undoes_node(const object_change& change) const {
  return change.deleted;
}

bool control_thread::undoes_tree(const object_change& change) const {
  return !this->tree_document.empty() && (change.deleted || change.object.document != this->tree_document);
}

void control_thread::rewrite_lost_tree(time_point now) {
  const auto& feed = this->settings_watch().feed;
  if (!this->tree_is_lost || feed.is_listing() || this->write_active || now < this->write_allowed_at) {
    return;
  }
  const auto found = feed.objects().find(object_kinds::settings_name);
  if (found != feed.objects().end() && found->second.document == this->tree_document) {
    this->tree_is_lost = false;
    return;
  }
  const auto alive = this->members.alive(now);
  const auto writer = std::max_element(alive.begin(), alive.end(), [](const auto& a, const auto& b) {
    return rendezvous_weight(a.first.str(), object_kinds::settings) <
           rendezvous_weight(b.first.str(), object_kinds::settings);
  });
  if (writer == alive.end() || writer->first != this->self.id) {
    return;
  }
  const auto& store = this->adapter.store();
  this->write_object(
      found == feed.objects().end()
          ? store.create_call(object_kinds::settings, object_kinds::settings_name, this->tree_document)
          : store.replace_call(object_kinds::settings, object_kinds::settings_name, this->tree_document,
                               found->second.version),
      "restore_settings", this->self.id.str());
}

}  // namespace zinnia
