// What this node holds in force although the store may lack it: told to other nodes, and learned from them.
#include <algorithm>
#include <limits>
#include <utility>

#include "peer_state_exchange.hpp"
#include "zinnia/membership/notice_peers.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/observe/log.hpp"
#include "zinnia/store/store_era.hpp"

namespace zinnia {

bool control_thread::is_complete() const {
  return std::all_of(this->watches.begin(), this->watches.end(), [](const watched_kind& watched) {
    return watched.kind == object_kinds::nodes || watched.feed.is_complete();
  });
}

membership_view control_thread::view_of_nodes(time_point now) {
  membership_view nodes{this->members.alive(now), this->members.regions_with_nodes(),
                        std::max<std::size_t>(this->members.registered_count(), 1)};
  const auto revision = this->members.registry_revision();
  if (std::exchange(this->report_peers_revision, revision) != revision) {
    this->report_peers = crash_report_peers(this->members.registered_notice_addresses(), this->self.id);
  }
  nodes.report_peers = this->report_peers;
  // Shares computed from a part of the nodes would be too large.
  nodes.is_list_complete = this->node_watch().feed.is_complete();
  if (nodes.is_list_complete) {
    nodes.holders = this->members.holders_of_limits();
  }
  return nodes;
}

object_version control_thread::oldest_known_version() const {
  object_version oldest{std::numeric_limits<std::int64_t>::max()};
  for (const auto& watched : this->watches) {
    if (watched.kind != object_kinds::nodes) {
      oldest = std::min(oldest, watched.feed.synced_version());
    }
  }
  return oldest;
}

void control_thread::ask_peers(time_point now) {
  if (!this->is_complete()) {
    return;
  }
  this->state_exchange->expect(now);
  if (!this->node_watch().feed.is_complete()) {
    return;
  }
  this->state_exchange->begin(now);
  this->state_exchange->issue_calls(now);
}

state_reply control_thread::apply_peer_state(const node_id& from, const retained_state& state) {
  const bool has_newer_configuration =
      state.configuration && state.configuration_number > this->builder.version().count();
  if (has_newer_configuration) {
    this->apply_configuration({*state.configuration, false});
  }
  const auto their_era = era_of(state.store_version);
  const auto own_era = era_of(this->oldest_known_version());
  log_line{log_level::info, "peer_state_received"}
      .field("from", from.str())
      .field("config_version", static_cast<std::int64_t>(state.configuration_number))
      .field("retained", static_cast<std::int64_t>(state.changes.size()))
      .field("era", their_era)
      .field("own_era", own_era);
  if (their_era != own_era || state.copy_versions.size() != this->watches.size()) {
    return state_reply::too_early;
  }
  for (std::size_t kind = 0; kind < this->watches.size(); ++kind) {
    this->watches[kind].guard.on_copy_version(state.copy_versions[kind]);
    this->release_rewritten_objects(this->watches[kind]);
  }
  for (const auto& retained : state.changes) {
    if (retained.kind < this->watches.size()) {
      this->apply_retained_change(retained);
    }
  }
  return state_reply::applied;
}

void control_thread::release_rewritten_objects(watched_kind& watched) {
  std::vector<object_change> rewritten;
  for (const auto& [name, held] : watched.guard.held_changes()) {
    const auto stored = watched.feed.objects().find(name);
    if (stored != watched.feed.objects().end() && stored->second.version > watched.guard.copy()) {
      rewritten.push_back({stored->second, false});
    }
  }
  for (const auto& change : rewritten) {
    watched.guard.release(change.object.name);
    (this->*watched.apply)(change);
  }
}

void control_thread::apply_retained_change(const retained_change& retained) {
  auto& watched = this->watches[retained.kind];
  const auto& change = retained.change;
  const auto& name = change.object.name;
  if (watched.undoes == nullptr || watched.guard.held_changes().contains(name)) {
    return;
  }
  const auto stored = watched.feed.objects().find(name);
  const bool is_stored = stored != watched.feed.objects().end();
  if (is_stored ? stored->second.version > watched.guard.copy() : change.deleted) {
    // It has been written again, or it is gone anyway.
    return;
  }
  watched.guard.hold(change, retained.until);
  if (change.deleted && watched.kind == this->adapter.backend_kind()) {
    // It left before the store was restored, so its entry does not come back.
    this->remove_backend(change.object, duration{0});
  } else {
    (this->*watched.apply)(change);
  }
}

void control_thread::publish_state() {
  std::vector<retained_change> retained;
  std::vector<object_version> copies;
  for (std::size_t kind = 0; kind < this->watches.size(); ++kind) {
    const auto& watched = this->watches[kind];
    copies.push_back(watched.guard.copy());
    // Heartbeats tell of nodes.
    if (&watched != &this->node_watch()) {
      for (const auto& [name, held] : watched.guard.held_changes()) {
        retained.push_back({kind, held.in_force, held.until});
      }
    }
  }
  this->own_state = {this->builder.version().count(), digest_of(retained)};
  const auto store_version = this->oldest_known_version();
  const auto& published = this->published_state;
  const bool is_current =
      published != nullptr && published->configuration_number == this->own_state.configuration &&
      digest_of(published->changes) == this->own_state.retained_digest &&
      published->copy_versions == copies && era_of(published->store_version) == era_of(store_version);
  if (!this->ready || is_current) {
    return;
  }
  this->published_state = std::make_shared<const retained_state>(
      retained_state{store_version, this->own_state.configuration, this->configuration_in_force,
                     std::move(copies), std::move(retained)});
  this->changes_to_relay.set_state(this->published_state);
}

}  // namespace zinnia
