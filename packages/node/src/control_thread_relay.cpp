// The change relay of the control thread: receives changes from another node, and relays its own.
#include <algorithm>
#include <limits>

#include "change_relay_client.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How long a node may lag behind any other node before it stops following its source and watches the store
/// itself. A source relays changes after pauses of 200 ms (its watch) and 150 ms (the poll interval).
constexpr duration max_relay_lag{500};
/// How long the node then watches the store itself before it follows a node again.
constexpr duration store_watch_time{3000};
/// The same for a node that the store refuses. A source that has just died is listed for another second, and
/// several tries then fit into the shortest time that a proof is valid.
constexpr duration refused_retry_pause{300};
/// How long a node keeps its source while there is none that it should follow. The first requests of a node
/// that has just begun to serve can make all nodes of its failure domain serve for some 100 ms.
constexpr duration source_keep_time{1000};

}  // namespace
}  // namespace impl

std::vector<object_version> control_thread::known_versions() const {
  std::vector<object_version> versions;
  for (const auto& watched : this->watches) {
    versions.push_back(watched.feed.synced_version());
  }
  return versions;
}

bool control_thread::is_watching() const {
  const auto& configuration = this->watches.front();
  return this->ready && !configuration.relayed && !configuration.feed.is_failing() && !this->leaving;
}

void control_thread::publish_watching_state() {
  const bool is_watching_now = this->is_watching();
  if (is_watching_now != this->published_watching) {
    this->published_watching = is_watching_now;
    this->changes_to_relay.set_watching(is_watching_now);
    this->events.on_relay_update();
  }
}

void control_thread::follow_change_relay(time_point now) {
  auto known = this->known_versions();
  // The lag of the node registry does not count: heartbeats reveal the state of nodes, so late changes to
  // their entries are harmless.
  known.back() = object_version{std::numeric_limits<std::int64_t>::max()};
  const bool is_behind = this->members.is_behind(known, now);
  this->behind_since = is_behind ? std::min(this->behind_since, now) : far_future;
  if (this->relay_client->is_following() && now - this->behind_since > impl::max_relay_lag) {
    this->stop_following("another node has heard of more");
  }
  const bool has_complete_lists =
      std::none_of(this->watches.begin(), this->watches.end(),
                   [](const watched_kind& watched) { return watched.feed.is_listing(); });
  const bool needs_relay = this->needs_relay();
  const bool may_follow = has_complete_lists && this->ready && !this->leaving &&
                          now >= (needs_relay ? this->relay_retry_at : this->follow_allowed_at);
  const auto source = !may_follow   ? std::nullopt
                      : needs_relay ? this->members.nearest_watching_node(now)
                                    : this->members.change_relay_source(now);
  this->without_source_since = source ? far_future : std::min(this->without_source_since, now);
  // The choice of serving nodes can change for a moment; a source that has gone fails the poll.
  const bool keeps_source = this->confirmation && may_follow && this->relay_client->is_following() &&
                            now - this->without_source_since < impl::source_keep_time;
  if (!source && !keeps_source && this->relay_client->is_following()) {
    this->stop_following("no node to follow");
  }
  if (source || keeps_source) {
    if (!this->relay_client->is_following()) {
      log_line{log_level::info, "follows_node"}.field("source", source->id.str());
    }
    if (source) {
      this->relay_client->set_source(source);
    }
    // A node that the store refuses keeps calling it for the configuration, to notice when it is back.
    const auto first = this->watches.begin() + (needs_relay ? 1 : 0);
    const bool is_all_relayed =
        std::all_of(first, this->watches.end(), [](const watched_kind& watched) { return watched.relayed; });
    this->relay_client->poll(now, is_all_relayed);
  }
  this->publish_watching_state();
}

void control_thread::apply_relayed_changes(const std::vector<feed_reply>& replies,
                                           const std::optional<confirmed_configuration>& confirmed) {
  if (replies.size() != this->watches.size()) {
    this->stop_following("a different number of object kinds");
    return;
  }
  for (std::size_t i = 0; i < replies.size(); ++i) {
    auto& watched = this->watches[i];
    // While the source cannot relay a kind, this node watches that kind at the store.
    const bool is_applied = watched.feed.apply_relayed_changes(replies[i]);
    const bool is_configuration = &watched == &this->configuration_watch();
    const bool is_relayed = is_applied && !(is_configuration && this->needs_relay());
    if (is_relayed && !watched.relayed) {
      this->cancel_call(watched);
    }
    watched.relayed = is_relayed;
    if (is_applied) {
      this->on_store_version(watched, replies[i].store_version);
    }
    this->apply_changes(watched);
    if (is_configuration && is_applied && this->confirmation && confirmed) {
      this->confirmation->on_confirmed(confirmed->version, confirmed->query_time);
    }
  }
}

void control_thread::stop_following(const std::string& cause) {
  log_line{log_level::info, "watches_store_again"}.field("cause", cause);
  this->relay_client->set_source(std::nullopt);
  this->follow_allowed_at = this->clock.now() + impl::store_watch_time;
  this->relay_retry_at = this->clock.now() + impl::refused_retry_pause;
  for (auto& watched : this->watches) {
    watched.relayed = false;
  }
}

}  // namespace zinnia
