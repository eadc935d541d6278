// Creation and loop of the control thread, and publication of snapshots.
#include "zinnia/node/control_thread.hpp"

#include <algorithm>
#include <utility>

#include "change_relay_client.hpp"
#include "heartbeat_socket.hpp"
#include "load_meter.hpp"
#include "peer_state_exchange.hpp"
#include "quarantine_store.hpp"
#include "watch_timing.hpp"
#include "zinnia/observe/log.hpp"
#include "zinnia/store/store_era.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Changes of backend servers come in bursts. One call collects all changes of this time, which is far below
/// any limit on the time to apply them.
constexpr duration change_batch_delay{200};
/// The same for nodes. They register and leave in groups, and heartbeats reveal their state anyway.
constexpr duration node_batch_delay{1000};
/// How often the list of alive nodes is updated: a fraction of the time without heartbeats after which a node
/// counts as unreachable.
constexpr duration nodes_update_period{100};
/// How often the settings file is checked without a signal.
constexpr duration settings_period{2000};
/// Upper limit on the time between two flushes of the log.
constexpr duration log_period{200};

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
