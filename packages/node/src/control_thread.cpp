// Watches, registration, heartbeats and publication.
#include "zinnia/node/control_thread.hpp"

#include <algorithm>
#include <utility>

#include "beat_link.hpp"
#include "load_meter.hpp"
#include "news_follower.hpp"
#include "zinnia/core/rendezvous.hpp"
#include "zinnia/membership/member_codec.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Part of the store's history for which a watch may wait; a call is priced, so long ones are cheap, but one
/// that waits past the history ends with a list.
constexpr std::int64_t watch_history_percent = 70;
constexpr std::int64_t percent = 100;
/// A lost history renews all watches; within this time the others' own loss does not do so again.
constexpr duration renewal_pause{1000};
/// The watch of the configuration also shows whether the store answers at all: a store that fell silent is
/// noticed within this time and the call's slack, below the shortest `stableWindowMs` (3 s).
constexpr duration short_watch{1800};
/// Changes of servers come in bursts; one call brings all of this time, far below any bound on acting on
/// them.
constexpr duration settle_pause{200};
/// The same for nodes, which register and leave together and are judged by their heartbeats in any case.
constexpr duration node_settle_pause{1000};
/// Longest pause between calls to a store that fails: with the time to connect it stays well below the
/// shortest `stableWindowMs` (3 s), within which a node must be up to date again.
constexpr duration longest_pause{700};
/// Pause between writes of this node's own entry; longer than the store's answer and its change event.
constexpr duration write_pause{1500};
/// How often the list of living nodes is looked at; a fraction of the silence after which one counts as lost.
constexpr duration nodes_period{100};
/// How often silent nodes are looked for.
constexpr duration forget_period{2000};
/// How often the settings file is looked at without a signal.
constexpr duration settings_period{2000};
/// How often the log is written out.
constexpr duration log_period{200};
/// Entries of backend servers may lapse while the store is away and are back within 2 s of its return.
constexpr duration lapse_grace{1800};
/// After this node could not reach the store: the entry may have been missing for long, and the store's
/// return was noticed up to a second late.
constexpr duration grace_after_outage{1000};
/// Kept between the grace and the time within which a leaving server must get nothing more.
constexpr duration drain_margin{700};

[[nodiscard]] duration long_watch(const node_settings& settings) {
  return {settings.store_history.ms * watch_history_percent / percent};
}

/// Pauses of different nodes and kinds are spread by the seed.
[[nodiscard]] object_feed make_feed(const char* kind, duration wait, duration settle, const node_id& self) {
  feed_timing timing;
  timing.watch_timeout = wait;
  timing.batch_delay = settle;
  timing.max_backoff = longest_pause;
  return {timing, stable_hash(self.str() + kind)};
}

}  // namespace
}  // namespace impl

control_thread::control_thread(const deployment& outside_in, const node_settings& settings_in,
                               std::shared_ptr<const settings_tree> tree, member self_in, metrics& counts_in,
                               control_events events_in)
    : outside{outside_in},
      settings{settings_in},
      self{std::move(self_in)},
      counts{counts_in},
      events{std::move(events_in)},
      watches{
          {{outside_in.configuration_kind(),
            impl::make_feed(outside_in.configuration_kind(), impl::short_watch, duration{0}, this->self.id),
            0, false, false, &control_thread::apply_config},
           {outside_in.backend_kind(),
            impl::make_feed(outside_in.backend_kind(), impl::long_watch(settings_in), impl::settle_pause,
                            this->self.id),
            0, false, false, &control_thread::apply_server},
           {outside_in.evacuation_kind(),
            impl::make_feed(outside_in.evacuation_kind(), impl::long_watch(settings_in), impl::settle_pause,
                            this->self.id),
            0, false, false, &control_thread::apply_evacuation},
           {object_kinds::settings,
            impl::make_feed(object_kinds::settings, impl::long_watch(settings_in), duration{0},
                            this->self.id),
            0, false, false, &control_thread::apply_tree},
           {object_kinds::nodes,
            impl::make_feed(object_kinds::nodes, impl::long_watch(settings_in), impl::node_settle_pause,
                            this->self.id),
            0, false, false, &control_thread::apply_node}}},
      builder{settings_in.regions},
      members{this->self.id},
      meter{std::make_unique<load_meter>()},
      beats{std::make_unique<beat_link>(ip_endpoint{settings_in.ip, settings_in.peer_port})},
      told{this->watches.size()},
      follower{std::make_unique<news_follower>(
          this->calls, news_follower::hooks{[this] { return this->known_versions(); },
                                            [this](const auto& news) { this->on_news(news); },
                                            [this](const auto& cause) { this->stop_following(cause); }})},
      settings_stamp{outside_in.settings_stamp()} {
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

void control_thread::reload_settings() {
  this->reload_wanted = true;
  this->calls.wake();
}

void control_thread::run() {
  while (!this->stopping) {
    const auto now = this->clock.now();
    this->follow_news(now);
    this->issue_calls(now);
    this->keep_registered(now);
    this->forget_silent(now);
    this->send_beats(now);
    this->check_settings_file(now);
    this->publish(now);
    flush_log();
    this->calls.wait(this->time_to_next(now), this->beats->descriptor());
    this->receive_beats(this->clock.now());
  }
}

duration control_thread::time_to_next(time_point now) const {
  auto next = std::min({this->next_beat, this->builder.next_removal(), this->follower->next_at()});
  for (const auto& watched : this->watches) {
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
  watched.call = this->calls.start(this->outside.store().read_call(watched.kind, call),
                                   [this, &watched, call](const http_response& answer) {
                                     watched.call_active = false;
                                     this->on_answer(watched, call, answer);
                                   });
}

void control_thread::on_answer(watched_kind& watched, const feed_call& call, const http_response& answer) {
  const auto reply = this->outside.store().decode_read(call, answer);
  watched.feed.on_reply(reply, this->clock.now());
  if (reply.status == feed_status::history_gone) {
    log_line{log_level::info, "store_history_gone"}
        .field("kind", watched.kind)
        .field("since", call.since_version.count());
    // The store dropped changes of all kinds; the other watches may have missed theirs without being cut.
    this->renew_watches(watched);
  }
  if (reply.status == feed_status::ok && &watched == &this->configuration_watch()) {
    this->renew_if_silent(reply.store_version);
  }
  this->note_dependency(watched, answer);
  this->take_changes(watched);
}

void control_thread::take_changes(watched_kind& watched) {
  const auto changes = watched.feed.take_changes();
  watched.untold.insert(watched.untold.end(), changes.begin(), changes.end());
  if (!watched.feed.is_listing()) {
    const auto kind = static_cast<std::size_t>(&watched - this->watches.data());
    this->told.record_changes(kind, watched.untold, watched.feed.synced_version(), this->clock.now());
    if (!watched.untold.empty()) {
      watched.untold.clear();
      this->events.on_board();
    }
  }
  for (const auto& change : changes) {
    (this->*watched.apply)(change);
  }
}

void control_thread::cancel_call(watched_kind& watched) {
  if (watched.call_active) {
    this->calls.cancel(watched.call);
    watched.call_active = false;
  }
  watched.feed.abandon_call();
}

void control_thread::note_dependency(watched_kind& watched, const http_response& answer) {
  const bool is_lost = watched.feed.is_failing();
  if (is_lost) {
    this->counts.add(counter::store_failures);
  }
  if (is_lost == watched.lost) {
    return;
  }
  watched.lost = is_lost;
  log_line{is_lost ? log_level::warn : log_level::info, is_lost ? "store_lost" : "store_regained"}
      .field("kind", watched.kind)
      .field("status", answer.status)
      .field("cause", answer.failure_reason)
      .field("age_ms", (this->clock.now() - watched.feed.last_response_at()).ms);
  if (!is_lost && &watched == &this->configuration_watch()) {
    this->regained_at = this->clock.now();
    // The other watches may hang on connections that will never answer, or sit out a pause.
    this->renewed_at = {};
    this->renew_watches(watched);
  }
}

void control_thread::renew_if_silent(object_version newest) {
  object_version explained;
  for (const auto& watched : this->watches) {
    if (&watched != &this->configuration_watch()) {
      if (!watched.call_active) {
        // It pauses, and will tell soon.
        return;
      }
      explained = std::max(explained, watched.feed.synced_version());
    }
  }
  const bool is_unexplained = newest > explained && newest > this->config_seen;
  const auto suspected = std::exchange(this->unexplained, is_unexplained ? newest : object_version{});
  // Seen twice in a row: not a change that is just on its way.
  if (is_unexplained && suspected.count() > 0 && newest > this->renewed_for) {
    this->renewed_for = newest;
    log_line{log_level::warn, "watches_silent"}
        .field("newest", newest.count())
        .field("known", explained.count());
    this->renew_watches(this->configuration_watch());
  }
}

void control_thread::renew_watches(const watched_kind& except) {
  const auto now = this->clock.now();
  if (now - this->renewed_at < impl::renewal_pause) {
    return;
  }
  this->renewed_at = now;
  for (auto& watched : this->watches) {
    if (&watched == &except) {
      continue;
    }
    this->cancel_call(watched);
  }
}

duration control_thread::removal_grace() const {
  const bool was_away = this->clock.now() - this->regained_at < impl::lapse_grace;
  const auto grace = was_away ? impl::grace_after_outage : impl::lapse_grace;
  return std::clamp(this->settings.drain_limit - impl::drain_margin, duration{0}, grace);
}

void control_thread::apply_server(const object_change& change) {
  const auto& object = change.object;
  if (change.deleted) {
    log_line{log_level::info, "backend_removed"}
        .field("backend", object.name)
        .field("version", object.version.count());
    this->builder.remove_backend(backend_id{object.name}, this->clock.now(), this->removal_grace());
    return;
  }
  const auto decoded = this->outside.decode_backend(object, this->clock.now());
  if (!decoded || !this->settings.regions.contains(decoded->domain)) {
    this->counts.add(counter::settings_rejected);
    log_line{log_level::warn, "backend_entry_unreadable"}
        .field("backend", object.name)
        .field("version", object.version.count())
        .field("cause",
               decoded ? "unknown failure domain " + decoded->domain.str() : decoded.last_error().describe());
    this->builder.remove_backend(backend_id{object.name}, this->clock.now(), this->removal_grace());
    return;
  }
  log_line{log_level::info, "backend_declared"}
      .field("backend", object.name)
      .field("service", decoded->service.str())
      .field("domain", decoded->domain.str())
      .field("draining", decoded->mode == backend_mode::draining ? 1 : 0)
      .field("cold_left_ms", (decoded->cold_until - this->clock.now()).ms)
      .field("version", object.version.count());
  this->builder.set_backend(*decoded);
}

void control_thread::apply_config(const object_change& change) {
  const auto& object = change.object;
  const auto found = this->outside.decode_configuration(object);
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
  this->config_seen = std::max(this->config_seen, object.version);
  if (is_newer) {
    this->events.on_limits(decoded->limits);
  }
}

void control_thread::apply_evacuation(const object_change& change) {
  log_line{log_level::info, change.deleted ? "evacuation_ended" : "evacuation_begun"}
      .field("domain", change.object.name)
      .field("version", change.object.version.count());
  this->builder.set_evacuated(failure_domain_id{change.object.name}, !change.deleted);
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
  this->builder.settle(now, unix_now);
  const bool is_complete =
      std::all_of(this->watches.begin(), this->watches.end(), [](const watched_kind& watched) {
        return watched.kind == object_kinds::nodes || watched.feed.is_complete();
      });
  if (is_complete && this->builder.has_routes()) {
    if (const auto snapshot = this->builder.publish()) {
      this->drained = snapshot->shifts.drained_nodes.contains(this->self.id);
      this->events.on_snapshot(snapshot);
      this->events.on_progress(this->builder.progress(unix_now));
    }
    if (!this->ready.exchange(true)) {
      log_line{log_level::info, "ready"}.field("config_version",
                                               static_cast<std::int64_t>(this->builder.version().count()));
    }
  }
  this->meter->sample(now, this->counts.value(counter::requests), this->counts.value(counter::answer_bytes));
  this->members.set_self(this->ready, this->is_leaving(), this->meter->load());
  if (now < this->nodes_not_before) {
    return;
  }
  this->nodes_not_before = now + impl::nodes_period;
  known_nodes nodes{this->members.alive(now), this->members.staffed_regions(),
                    std::max<std::size_t>(this->members.registered_count(), 1)};
  if (nodes != this->last_nodes) {
    const auto serving = std::count_if(nodes.alive.begin(), nodes.alive.end(),
                                       [](const auto& known) { return known.second.serves; });
    const auto own = nodes.alive.find(this->self.id);
    log_line{log_level::info, "nodes_alive"}
        .field("count", static_cast<std::int64_t>(nodes.alive.size()))
        .field("serving", static_cast<std::int64_t>(serving))
        .field("registered", static_cast<std::int64_t>(nodes.registered))
        .field("self_serves", own != nodes.alive.end() && own->second.serves ? 1 : 0)
        .field("cpu_milli", this->meter->load().cpu_milli)
        .field("link_kbit", this->meter->load().link_kbit);
    this->events.on_nodes(nodes);
    this->last_nodes = std::move(nodes);
  }
}

void control_thread::keep_registered(time_point now) {
  const auto& feed = this->node_watch().feed;
  if (!feed.is_complete() || this->write_active || now < this->write_not_before) {
    return;
  }
  const auto own = feed.objects().find(this->self.id.str());
  const bool is_present = own != feed.objects().end();
  if (this->leaving) {
    if (is_present && !this->removal_sent) {
      this->removal_sent = true;
      this->write(
          this->outside.store().remove_call(object_kinds::nodes, this->self.id.str(), own->second.version),
          "leave", this->self.id.str());
    }
    return;
  }
  const auto document = encode_member(this->self);
  if (!is_present) {
    this->write(this->outside.store().create_call(object_kinds::nodes, this->self.id.str(), document),
                "register", this->self.id.str());
    return;
  }
  const auto known = decode_member(own->first, own->second.document);
  if (!known || known->incarnation != this->self.incarnation) {
    this->write(this->outside.store().replace_call(object_kinds::nodes, this->self.id.str(), document,
                                                   own->second.version),
                "register", this->self.id.str());
  }
}

void control_thread::forget_silent(time_point now) {
  if (now < this->forget_not_before || this->write_active || this->leaving) {
    return;
  }
  this->forget_not_before = now + impl::forget_period;
  const auto& objects = this->node_watch().feed.objects();
  for (const auto& silent : this->members.to_forget(now)) {
    if (const auto entry = objects.find(silent.str()); entry != objects.end()) {
      this->write(this->outside.store().remove_call(object_kinds::nodes, silent.str(), entry->second.version),
                  "forget", silent.str());
      return;
    }
  }
}

void control_thread::write(const http_call& call, const char* purpose, const std::string& name) {
  this->write_active = true;
  // The change itself arrives by the watch; until then nothing is written again.
  this->write_not_before = this->clock.now() + impl::write_pause;
  this->counts.add(counter::store_calls);
  this->calls.start(call, [this, purpose, name](const http_response& answer) {
    this->write_active = false;
    const bool is_done = this->outside.store().decode_write(answer) == write_status::ok;
    log_line{is_done ? log_level::info : log_level::warn, "store_written"}
        .field("purpose", purpose)
        .field("node_entry", name)
        .field("status", answer.status)
        .field("cause", answer.failure_reason);
  });
}

void control_thread::send_beats(time_point now) {
  if (now < this->next_beat) {
    return;
  }
  this->next_beat = now + heartbeat_period;
  member_beat beat;
  beat.id = this->self.id;
  beat.incarnation = this->self.incarnation;
  beat.ready = this->ready;
  beat.leaving = this->is_leaving();
  beat.load = this->meter->load();
  beat.watching = this->is_watching();
  if (beat.watching) {
    beat.changes = this->told.latest_change_versions();
  }
  this->beats->send(beat, this->members.peers());
}

void control_thread::receive_beats(time_point now) {
  const int malformed =
      this->beats->receive([&](const member_beat& beat) { this->members.on_beat(beat, now); });
  for (int i = 0; i < malformed; ++i) {
    this->counts.add(counter::malformed_frames);
  }
}

void control_thread::check_settings_file(time_point now) {
  const bool wanted = this->reload_wanted.exchange(false);
  if (!wanted && now - this->settings_checked_at < impl::settings_period) {
    return;
  }
  this->settings_checked_at = now;
  const auto stamp = this->outside.settings_stamp();
  if (!wanted && stamp == this->settings_stamp) {
    return;
  }
  this->settings_stamp = stamp;
  const auto read = this->outside.reread_settings();
  if (!read) {
    return;
  }
  if (!*read) {
    log_line{log_level::error, "settings_rejected"}.field("cause", read->last_error().describe());
    return;
  }
  // Addresses and places hold for the life of a process; the rest is taken over.
  this->settings.regions = (*read)->regions;
  log_line{log_level::info, "settings_reloaded"}.field("regions",
                                                       static_cast<std::int64_t>((*read)->regions.size()));
}

}  // namespace zinnia
