// Store watches, registration of this node, heartbeats and publication of snapshots.
#include "zinnia/node/control_thread.hpp"

#include <algorithm>
#include <utility>

#include "change_relay_client.hpp"
#include "heartbeat_socket.hpp"
#include "load_meter.hpp"
#include "peer_state_exchange.hpp"
#include "quarantine_store.hpp"
#include "zinnia/core/rendezvous.hpp"
#include "zinnia/membership/member_codec.hpp"
#include "zinnia/observe/log.hpp"
#include "zinnia/store/store_era.hpp"

namespace zinnia {
namespace impl {
namespace {

/// The wait time of a watch call, as a share of the store's history. Each call has a price, so long calls are
/// cheaper, but a call that outlasts the history has to be followed by a full list.
constexpr std::int64_t watch_history_percent = 70;
constexpr std::int64_t percent = 100;
/// Minimum time between restarts of the watches. A lost history restarts all watches, and the other watches
/// report the same loss shortly afterwards.
constexpr duration restart_pause{1000};
/// The configuration watch also detects an unresponsive store. Its wait time leaves this much of the recovery
/// limit for the allowance of the call and for reconnecting.
constexpr duration store_check_margin{1600};
constexpr duration min_configuration_watch_time{1800};
/// Changes of backend servers come in bursts. One call collects all changes of this time, which is far below
/// any limit on the time to apply them.
constexpr duration change_batch_delay{200};
/// The same for nodes. They register and leave in groups, and heartbeats reveal their state anyway.
constexpr duration node_batch_delay{1000};
/// Upper limit on the pause between calls to a failing store. Together with the time to connect it is well
/// below any recovery limit.
constexpr duration max_store_pause{700};
/// Pause between writes of node entries. Longer than the store needs to respond and deliver the change event.
constexpr duration node_entry_write_pause{1500};
/// How often the list of alive nodes is updated: a fraction of the time without heartbeats after which a node
/// counts as unreachable.
constexpr duration nodes_update_period{100};
/// How often expired nodes are looked up.
constexpr duration expiry_check_period{2000};
/// How often the settings file is checked without a signal.
constexpr duration settings_period{2000};
/// Upper limit on the time between two flushes of the log.
constexpr duration log_period{200};
/// How long a backend server stays in use after its entry disappeared. Entries may lapse while the store is
/// unreachable, and are back within 2 s after it recovers.
constexpr duration entry_lapse_grace{1800};
/// The same shortly after this node could not reach the store: the entry may have been missing for a long
/// time, and this node notices the recovery up to a second late.
constexpr duration lapse_grace_after_outage{1000};
/// Minimum time between the end of the grace period and the drain limit, after which a leaving server must
/// receive no more requests.
constexpr duration drain_margin{700};

[[nodiscard]] duration history_watch_time(const node_settings& settings) {
  return {settings.store_history.ms * watch_history_percent / percent};
}

[[nodiscard]] duration configuration_watch_time(const node_settings& settings) {
  const auto wait = std::max(settings.recovery_limit - store_check_margin, min_configuration_watch_time);
  return settings.revocation_limit ? std::min(wait, confirmation_watch_time(*settings.revocation_limit))
                                   : wait;
}

/// Creates a feed whose seed spreads the pauses of different nodes and kinds.
[[nodiscard]] object_feed make_feed(const char* kind, duration wait, duration settle, const node_id& self) {
  feed_timing timing;
  timing.watch_timeout = wait;
  timing.batch_delay = settle;
  timing.max_backoff = max_store_pause;
  return {timing, stable_hash(self.str() + kind)};
}

/// Backend servers that are gone and remembered, in case a copy of the store still has them.
constexpr std::size_t max_removed_backends = 512;

}  // namespace
}  // namespace impl

control_thread::control_thread(const deployment& adapter_in, const node_settings& settings_in,
                               std::shared_ptr<const settings_tree> tree, member self_in, metrics& counts_in,
                               control_events events_in)
    : adapter{adapter_in},
      settings{settings_in},
      self{std::move(self_in)},
      counts{counts_in},
      events{std::move(events_in)},
      watches{{{adapter_in.configuration_kind(),
                impl::make_feed(adapter_in.configuration_kind(), impl::configuration_watch_time(settings_in),
                                duration{0}, this->self.id),
                0, false, false, &control_thread::apply_configuration, nullptr},
               {adapter_in.backend_kind(),
                impl::make_feed(adapter_in.backend_kind(), impl::history_watch_time(settings_in),
                                impl::change_batch_delay, this->self.id),
                0, false, false, &control_thread::apply_backend, &control_thread::undoes_backend},
               {adapter_in.evacuation_kind(),
                impl::make_feed(adapter_in.evacuation_kind(), impl::history_watch_time(settings_in),
                                impl::change_batch_delay, this->self.id),
                0, false, false, &control_thread::apply_evacuation, &control_thread::undoes_evacuation},
               {object_kinds::settings,
                impl::make_feed(object_kinds::settings, impl::history_watch_time(settings_in), duration{0},
                                this->self.id),
                0, false, false, &control_thread::apply_tree, &control_thread::undoes_tree},
               {object_kinds::nodes,
                impl::make_feed(object_kinds::nodes, impl::history_watch_time(settings_in),
                                impl::node_batch_delay, this->self.id),
                0, false, false, &control_thread::apply_node, &control_thread::undoes_node}}},
      builder{settings_in.regions},
      members{this->self.id},
      quarantines{std::make_unique<quarantine_store>(this->calls, adapter_in.store(), this->counts,
                                                     [this](const auto& reports) {
                                                       if (this->events.on_stored_quarantines) {
                                                         this->events.on_stored_quarantines(reports);
                                                       }
                                                     })},
      meter{std::make_unique<load_meter>()},
      heartbeats{std::make_unique<heartbeat_socket>(ip_endpoint{settings_in.ip, settings_in.peer_port})},
      changes_to_relay{this->watches.size()},
      relay_client{std::make_unique<change_relay_client>(
          this->calls,
          change_relay_client::event_handlers{[this] { return this->known_versions(); },
                                              [this](const auto& replies, const auto& confirmed) {
                                                this->apply_relayed_changes(replies, confirmed);
                                              },
                                              [this](const auto& cause) { this->stop_following(cause); }},
          settings_in.revocation_limit.has_value())},
      state_exchange{std::make_unique<peer_state_exchange>(
          this->calls, this->clock, this->members,
          peer_state_exchange::event_handlers{
              [this] { return this->builder.version().count(); },
              [this](const auto& from, const auto& state) { return this->apply_peer_state(from, state); }})},
      confirmation{make_confirmation(settings_in)},
      settings_revision{adapter_in.settings_revision()} {
  this->builder.set_tree(std::move(tree));
  this->thread = std::thread{[this] { this->run(); }};
}

control_thread::~control_thread() {
  this->stopping = true;
  this->calls.wake();
  this->thread.join();
}

void control_thread::begin_leaving() {
  this->leaving = true;
  this->calls.wake();
}

void control_thread::set_reaches_backends(bool reaches) {
  this->reaches_backends = reaches;
  this->calls.wake();
}

void control_thread::reload_settings() {
  this->reload_requested = true;
  this->calls.wake();
}

void control_thread::save_quarantine(const crash_report& report) {
  this->quarantines->save(report);
  this->calls.wake();
}

void control_thread::run() {
  while (!this->stopping) {
    const auto now = this->clock.now();
    this->follow_change_relay(now);
    this->issue_calls(now);
    if (!this->configuration_watch().feed.is_failing()) {
      this->quarantines->issue_calls(now);
    }
    this->apply_held_changes(now);
    this->rewrite_lost_tree(now);
    this->ask_peers(now);
    this->maintain_registration(now);
    this->remove_expired_nodes(now);
    this->send_heartbeats(now);
    this->check_settings_file(now);
    this->publish(now);
    this->publish_confirmation(this->clock.now());
    flush_log();
    this->calls.wait(this->time_to_next_action(now), this->heartbeats->descriptor());
    this->receive_heartbeats(this->clock.now());
  }
}

duration control_thread::time_to_next_action(time_point now) const {
  auto next =
      std::min({this->next_heartbeat, this->builder.next_removal(), this->relay_client->next_poll_at(),
                this->state_exchange->next_action_at(now), this->confirmation_end()});
  for (const auto& watched : this->watches) {
    next = std::min(next, watched.guard.next_due());
    if (this->may_call(watched)) {
      next = std::min(next, watched.feed.next_call_at());
    }
  }
  return std::clamp(next - now, duration{1}, impl::log_period);
}

bool control_thread::may_call(const watched_kind& watched) const {
  return !watched.relayed && (&watched == &this->watches.front() || !this->watches.front().feed.is_failing());
}

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

duration control_thread::removal_grace() const {
  const bool has_just_recovered = this->clock.now() - this->store_regained_at < impl::entry_lapse_grace;
  const auto grace = has_just_recovered ? impl::lapse_grace_after_outage : impl::entry_lapse_grace;
  return std::clamp(this->settings.drain_limit - impl::drain_margin, duration{0}, grace);
}

void control_thread::remove_backend(const stored_object& entry, duration grace) {
  log_line{log_level::info, "backend_removed"}
      .field("backend", entry.name)
      .field("version", entry.version.count());
  if (const auto* const known = this->builder.find_backend(backend_id{entry.name})) {
    if (this->removed_backends.insert_or_assign(known->id, known->started_unix_ms).second) {
      this->removal_order.push_back(known->id);
    }
    if (this->removal_order.size() > impl::max_removed_backends) {
      this->removed_backends.erase(this->removal_order.front());
      this->removal_order.pop_front();
    }
  }
  this->builder.remove_backend(backend_id{entry.name}, this->clock.now(), grace);
}

void control_thread::apply_backend(const object_change& change) {
  const auto& object = change.object;
  if (change.deleted) {
    this->remove_backend(object, this->removal_grace());
    return;
  }
  const auto decoded = this->adapter.decode_backend(object, this->clock.now());
  if (!decoded || !this->settings.regions.contains(decoded->domain)) {
    this->counts.add(counter::settings_rejected);
    log_line{log_level::warn, "backend_entry_unreadable"}
        .field("backend", object.name)
        .field("version", object.version.count())
        .field("cause",
               decoded ? "unknown failure domain " + decoded->domain.str() : decoded.last_error().describe());
    // A server stays as its last readable entry said, but not where nobody knows its failure domain.
    if (decoded) {
      this->builder.remove_backend(backend_id{object.name}, this->clock.now(), this->removal_grace());
    }
    return;
  }
  log_line{log_level::info, "backend_declared"}
      .field("backend", object.name)
      .field("service", decoded->service.str())
      .field("domain", decoded->domain.str())
      .field("draining", decoded->mode == backend_mode::draining ? 1 : 0)
      .field("cold_left_ms", (decoded->cold_until - this->clock.now()).ms)
      .field("version", object.version.count());
  if (this->removed_backends.erase(decoded->id) > 0) {
    std::erase(this->removal_order, decoded->id);
  }
  this->builder.set_backend(*decoded);
}

void control_thread::apply_configuration(const object_change& change) {
  const auto& object = change.object;
  const auto found = this->adapter.decode_configuration(object);
  if (change.deleted || !found) {
    return;
  }
  const auto& decoded = *found;
  if (!decoded) {
    this->counts.add(counter::settings_rejected);
    log_line{log_level::error, "configuration_rejected"}
        .field("version", object.version.count())
        .field("cause", decoded.last_error().describe());
    return;
  }
  const bool is_newer = this->builder.set_configuration(decoded->routing);
  log_line{log_level::info, is_newer ? "configuration_accepted" : "configuration_ignored"}
      .field("config_version", static_cast<std::int64_t>(decoded->routing.version.count()))
      .field("version", object.version.count())
      .field("routes", static_cast<std::int64_t>(decoded->routing.routes.size()));
  this->config_version_seen = std::max(this->config_version_seen, object.version);
  if (is_newer) {
    this->configuration_in_force = object;
    this->events.on_limits(decoded->limits);
  }
}

void control_thread::apply_evacuation(const object_change& change) {
  log_line{log_level::info, change.deleted ? "evacuation_ended" : "evacuation_begun"}
      .field("domain", change.object.name)
      .field("version", change.object.version.count());
  const failure_domain_id domain{change.object.name};
  this->builder.set_evacuated(domain, !change.deleted);
  if (change.deleted) {
    this->ended_evacuations.insert(domain);
  } else {
    this->ended_evacuations.erase(domain);
  }
}

void control_thread::apply_tree(const object_change& change) {
  if (change.object.name != object_kinds::settings_name || change.deleted) {
    return;
  }
  const auto document = decode_settings_document(change.object.document);
  const auto tree = document ? settings_tree::parse(*document, "stored settings")
                             : result<settings_tree>{document.last_error()};
  if (!tree) {
    this->counts.add(counter::settings_rejected);
    log_line{log_level::error, "settings_tree_rejected"}
        .field("version", change.object.version.count())
        .field("cause", tree.last_error().describe());
    return;
  }
  log_line{log_level::info, "settings_tree_accepted"}
      .field("version", change.object.version.count())
      .field("author", document->author)
      .field("edit", document->edit_id);
  this->builder.set_tree(std::make_shared<const settings_tree>(*tree));
  this->tree_document = change.object.document;
}

void control_thread::apply_node(const object_change& change) {
  if (change.deleted) {
    this->members.remove(node_id{change.object.name});
    return;
  }
  const auto decoded = decode_member(change.object.name, change.object.document);
  if (!decoded) {
    log_line{log_level::warn, "node_entry_unreadable"}.field("cause", decoded.last_error().describe());
    return;
  }
  this->members.add(*decoded, this->clock.now());
}

void control_thread::publish(time_point now) {
  const auto unix_now = unix_time_ms();
  this->builder.apply_due_changes(now, unix_now);
  if (this->is_complete() && this->state_exchange->is_done(now) && this->builder.has_routes()) {
    if (const auto snapshot = this->builder.publish()) {
      this->drained = snapshot->shifts.drained_nodes.contains(this->self.id);
      this->events.on_snapshot(snapshot);
      this->events.on_shift_progress(this->builder.progress(unix_now));
    }
    if (!this->ready.exchange(true)) {
      log_line{log_level::info, "ready"}
          .field("config_version", static_cast<std::int64_t>(this->builder.version().count()))
          .field("era", era_of(this->configuration_watch().guard.newest_version()));
    }
  }
  this->publish_state();
  this->meter->sample(now, this->counts.value(counter::requests), this->counts.value(counter::answer_bytes));
  this->members.set_own_state(this->ready, this->is_leaving(), this->meter->load(), this->reaches_backends,
                              this->is_confirmed(now));
  if (now < this->next_nodes_update) {
    return;
  }
  this->next_nodes_update = now + impl::nodes_update_period;
  auto nodes = this->view_of_nodes(now);
  if (nodes != this->published_nodes) {
    const auto serving = std::count_if(nodes.alive.begin(), nodes.alive.end(),
                                       [](const auto& known) { return known.second.serves; });
    const auto own_entry = nodes.alive.find(this->self.id);
    log_line{log_level::info, "nodes_alive"}
        .field("count", static_cast<std::int64_t>(nodes.alive.size()))
        .field("serving", static_cast<std::int64_t>(serving))
        .field("registered", static_cast<std::int64_t>(nodes.registered_count))
        .field("without_links",
               std::count_if(nodes.alive.begin(), nodes.alive.end(),
                             [](const auto& known) { return !known.second.reaches_backends; }))
        .field("self_serves", own_entry != nodes.alive.end() && own_entry->second.serves ? 1 : 0)
        .field("cpu_milli", this->meter->load().cpu_milli)
        .field("link_kbit", this->meter->load().link_kbit);
    this->events.on_nodes(nodes);
    this->published_nodes = std::move(nodes);
  }
}

void control_thread::maintain_registration(time_point now) {
  const auto& feed = this->node_watch().feed;
  if (!feed.is_complete() || feed.is_listing() || this->write_active || now < this->write_allowed_at) {
    return;
  }
  const auto own_entry = feed.objects().find(this->self.id.str());
  const bool is_present = own_entry != feed.objects().end();
  if (this->leaving) {
    if (is_present && !this->removal_sent) {
      this->removal_sent = true;
      this->write_object(this->adapter.store().remove_call(object_kinds::nodes, this->self.id.str(),
                                                           own_entry->second.version),
                         "leave", this->self.id.str());
    }
    return;
  }
  const auto document = encode_member(this->self);
  if (!is_present && now < this->store_restored_at + this->registration_delay()) {
    return;
  }
  if (!is_present) {
    this->write_object(this->adapter.store().create_call(object_kinds::nodes, this->self.id.str(), document),
                       "register", this->self.id.str());
    return;
  }
  const auto known = decode_member(own_entry->first, own_entry->second.document);
  if (!known || known->incarnation != this->self.incarnation) {
    this->write_object(this->adapter.store().replace_call(object_kinds::nodes, this->self.id.str(), document,
                                                          own_entry->second.version),
                       "register", this->self.id.str());
  }
}

void control_thread::remove_expired_nodes(time_point now) {
  if (now < this->next_expiry_check || this->write_active || this->leaving ||
      this->node_watch().feed.is_listing()) {
    return;
  }
  this->next_expiry_check = now + impl::expiry_check_period;
  const auto& objects = this->node_watch().feed.objects();
  for (const auto& expired : this->members.nodes_to_remove(now)) {
    if (const auto entry = objects.find(expired.str()); entry != objects.end()) {
      this->write_object(
          this->adapter.store().remove_call(object_kinds::nodes, expired.str(), entry->second.version),
          "forget", expired.str());
      return;
    }
  }
}

void control_thread::write_object(const http_call& call, const char* purpose, const std::string& name) {
  this->write_active = true;
  // The watch delivers the change itself. Until then nothing else is written.
  this->write_allowed_at = this->clock.now() + impl::node_entry_write_pause;
  this->counts.add(counter::store_calls);
  this->calls.start(call, [this, purpose, name](const http_response& response) {
    this->write_active = false;
    const bool is_done = this->adapter.store().decode_write(response) == write_status::ok;
    log_line{is_done ? log_level::info : log_level::warn, "store_written"}
        .field("purpose", purpose)
        .field("node_entry", name)
        .field("status", response.status)
        .field("cause", response.failure_reason);
    if (!is_done) {
      // Repeated after the pause between writes; the watch shows whether the entry is still there.
      this->removal_sent = false;
    }
  });
}

void control_thread::check_settings_file(time_point now) {
  const bool is_requested = this->reload_requested.exchange(false);
  if (!is_requested && now - this->settings_checked_at < impl::settings_period) {
    return;
  }
  this->settings_checked_at = now;
  const auto revision = this->adapter.settings_revision();
  if (!is_requested && revision == this->settings_revision) {
    return;
  }
  this->settings_revision = revision;
  const auto read = this->adapter.reread_settings();
  if (!read) {
    return;
  }
  if (!*read) {
    log_line{log_level::error, "settings_rejected"}.field("cause", read->last_error().describe());
    return;
  }
  // Only the regions are applied: addresses and locations are fixed for the lifetime of the process.
  this->settings.regions = (*read)->regions;
  this->builder.set_regions(this->settings.regions);
  for (const auto& [name, object] : this->backend_watch().feed.objects()) {
    // Entries that named an unknown failure domain until now.
    if (!this->builder.has_backend(backend_id{name})) {
      this->apply_backend({object, false});
    }
  }
  log_line{log_level::info, "settings_reloaded"}.field("regions",
                                                       static_cast<std::int64_t>((*read)->regions.size()));
}

}  // namespace zinnia
