// Calls that read the store and watch it, and what their replies say about the store.
#include <algorithm>
#include <utility>

#include "watch_timing.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Minimum time between restarts of the watches. A lost history restarts all watches, and the other watches
/// report the same loss shortly afterwards.
constexpr duration restart_pause{1000};

}  // namespace
}  // namespace impl

void control_thread::issue_calls(time_point now) {
  for (auto& watched : this->watches) {
    if (!this->may_call(watched)) {
      continue;
    }
    if (const auto call = watched.feed.next_call(now)) {
      this->start_call(watched, *call);
    }
  }
}

bool control_thread::may_call(const watched_kind& watched) const {
  return !watched.relayed && (&watched == &this->watches.front() || !this->watches.front().feed.is_failing());
}

void control_thread::start_call(watched_kind& watched, const feed_call& call) {
  this->counts.add(counter::store_calls);
  watched.call_active = true;
  watched.call = this->calls.start(this->adapter.store().read_call(watched.kind, call),
                                   [this, &watched, call](const http_response& response) {
                                     watched.call_active = false;
                                     this->on_store_response(watched, call, response);
                                   });
}

void control_thread::on_store_response(watched_kind& watched, const feed_call& call,
                                       const http_response& response) {
  const auto reply = this->adapter.store().decode_read(call, response);
  watched.feed.on_reply(reply, this->clock.now());
  if (reply.status == feed_status::history_gone) {
    log_line{log_level::info, "store_history_gone"}
        .field("kind", watched.kind)
        .field("since", call.since_version.count());
    // The store dropped changes of all kinds, so the other watches may have missed changes without an error.
    this->restart_watches(watched);
  }
  if (reply.status == feed_status::ok && &watched == &this->configuration_watch()) {
    this->restart_silent_watches(reply.store_version);
  }
  this->log_store_availability(watched, response);
  if (reply.status == feed_status::ok) {
    this->on_store_version(watched, reply.store_version);
  }
  this->apply_changes(watched);
  this->confirm_by_store(watched);
}

void control_thread::apply_changes(watched_kind& watched) {
  const auto changes = watched.feed.take_changes();
  watched.unrelayed.insert(watched.unrelayed.end(), changes.begin(), changes.end());
  if (!watched.feed.is_listing()) {
    const auto kind = static_cast<std::size_t>(&watched - this->watches.data());
    this->changes_to_relay.record_changes(kind, watched.unrelayed, watched.feed.synced_version(),
                                          this->clock.now());
    if (!watched.unrelayed.empty()) {
      watched.unrelayed.clear();
      this->events.on_relay_update();
    }
  }
  for (const auto& change : changes) {
    this->apply_or_hold(watched, change);
  }
}

void control_thread::cancel_call(watched_kind& watched) {
  if (watched.call_active) {
    this->calls.cancel(watched.call);
    watched.call_active = false;
  }
  watched.feed.abandon_call();
}

void control_thread::log_store_availability(watched_kind& watched, const http_response& response) {
  const bool is_unreachable = watched.feed.is_failing();
  if (is_unreachable) {
    this->counts.add(counter::store_failures);
  }
  if (is_unreachable == watched.was_failing) {
    return;
  }
  watched.was_failing = is_unreachable;
  log_line{is_unreachable ? log_level::warn : log_level::info,
           is_unreachable ? "store_lost" : "store_regained"}
      .field("kind", watched.kind)
      .field("status", response.status)
      .field("cause", response.failure_reason)
      .field("age_ms", (this->clock.now() - watched.feed.last_response_at()).ms);
  if (!is_unreachable && &watched == &this->configuration_watch()) {
    this->store_regained_at = this->clock.now();
    // The other watches may hang on dead connections or wait for the end of a retry pause.
    this->restarted_at = {};
    this->restart_watches(watched);
  }
}

void control_thread::restart_silent_watches(object_version store_version) {
  object_version newest_delivered;
  for (const auto& watched : this->watches) {
    if (&watched != &this->configuration_watch()) {
      if (!watched.call_active) {
        // The watch is between two calls, and its next call delivers what is missing.
        return;
      }
      newest_delivered = std::max(newest_delivered, watched.feed.synced_version());
    }
  }
  const bool is_undelivered = store_version > newest_delivered && store_version > this->config_version_seen;
  const auto previously_undelivered =
      std::exchange(this->undelivered_version, is_undelivered ? store_version : object_version{});
  if (previously_undelivered.count() == 0) {
    this->undelivered_since = this->clock.now();
  }
  // Proofs of the configuration shorten its watch; the time that a delivery may take stays the same.
  const bool is_late = !this->confirmation ||
                       this->clock.now() - this->undelivered_since >= impl::min_configuration_watch_time;
  // Two sightings in a row, since a single one may be a change that is still being delivered.
  if (is_undelivered && is_late && previously_undelivered.count() > 0 &&
      store_version > this->restarted_for_version) {
    this->restarted_for_version = store_version;
    log_line{log_level::warn, "watches_silent"}
        .field("newest", store_version.count())
        .field("known", newest_delivered.count());
    this->restart_watches(this->configuration_watch());
  }
}

void control_thread::restart_watches(const watched_kind& except) {
  const auto now = this->clock.now();
  if (now - this->restarted_at < impl::restart_pause) {
    return;
  }
  this->restarted_at = now;
  for (auto& watched : this->watches) {
    if (&watched == &except) {
      continue;
    }
    this->cancel_call(watched);
  }
}

}  // namespace zinnia
