// The control thread's proof that its configuration is current: from the store, and from the node that it
// follows.
#include <algorithm>

#include "zinnia/node/control_thread.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {

std::optional<configuration_confirmation> control_thread::make_confirmation(
    const node_settings& settings_in) {
  return settings_in.revocation_limit
             ? std::optional{configuration_confirmation{*settings_in.revocation_limit}}
             : std::nullopt;
}

bool control_thread::needs_relay() const {
  return this->confirmation && this->watches.front().feed.is_failing();
}

void control_thread::confirm_by_store(const watched_kind& watched) {
  if (!this->confirmation || &watched != &this->configuration_watch()) {
    return;
  }
  if (const auto confirmed_at = watched.feed.confirmed_at()) {
    // A document that cannot be read does not count, so the confirmed number is that of the last good one.
    this->confirmation->on_confirmed(this->builder.version(), *confirmed_at);
  }
}

void control_thread::on_announced_configuration(const node_heartbeat& received) {
  // The port also receives datagrams of nodes of other deployments, which must not end the proof.
  if (this->confirmation && this->members.find(received.id)) {
    this->confirmation->on_peer_configuration(config_version{received.state.configuration},
                                              this->clock.now());
  }
}

bool control_thread::is_confirmed(time_point now) const {
  return !this->confirmation || now < this->confirmation->valid_until();
}

time_point control_thread::confirmation_end() const {
  return this->logged_confirmed ? this->published_until : far_future;
}

void control_thread::publish_confirmation(time_point now) {
  if (!this->confirmation) {
    return;
  }
  this->confirmation->on_configuration(this->builder.version());
  const auto until = this->confirmation->valid_until();
  const auto required = this->confirmation->required_version();
  const bool is_proven = now < until;
  if (until != this->published_until || required != this->published_required) {
    this->published_until = until;
    this->published_required = required;
    if (this->events.on_confirmation) {
      this->events.on_confirmation(required, until);
    }
    this->changes_to_relay.set_confirmation(
        is_proven ? std::optional{confirmed_configuration{required, this->confirmation->query_time()}}
                  : std::nullopt);
  }
  if (is_proven != this->logged_confirmed) {
    this->logged_confirmed = is_proven;
    log_line{is_proven ? log_level::info : log_level::warn,
             is_proven ? "configuration_confirmed" : "configuration_unconfirmed"}
        .field("config_version", static_cast<std::int64_t>(this->builder.version().count()))
        .field("required_version", static_cast<std::int64_t>(required.count()))
        .field("age_ms", (now - this->confirmation->query_time()).ms);
  }
}

}  // namespace zinnia
