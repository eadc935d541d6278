// State transitions of the feed: list, watch, retry.
#include "zinnia/store/object_feed.hpp"

#include <algorithm>
#include <utility>

#include "zinnia/store/store_era.hpp"

namespace zinnia {
namespace impl {
namespace {

/// After these a pause has its full length.
constexpr int max_backoff_doublings = 10;

}  // namespace
}  // namespace impl

object_feed::object_feed(feed_timing timing_in, std::uint64_t seed)
    : timing{timing_in}, random_state{seed | 1U} {}

std::optional<feed_call> object_feed::next_call(time_point now) {
  if (this->call_in_flight || now < this->earliest_call_at) {
    return std::nullopt;
  }
  this->call_in_flight = true;
  this->called_at = now;
  feed_call call;
  if (this->listing) {
    call.after_name = this->last_listed_name;
  } else {
    call.call_type = feed_call::type::watch;
    call.since_version = this->watch_version;
    call.max_wait = this->timing.watch_timeout;
  }
  return call;
}

time_point object_feed::next_call_at() const noexcept {
  return this->call_in_flight ? far_future : this->earliest_call_at;
}

void object_feed::abandon_call() noexcept {
  this->call_in_flight = false;
  this->earliest_call_at = {};
}

void object_feed::begin_list() noexcept {
  this->listing = true;
  this->last_listed_name.clear();
  this->list_version.reset();
  this->listed_versions.clear();
}

void object_feed::restart_list() noexcept {
  this->abandon_call();
  this->begin_list();
}

void object_feed::schedule_retry(time_point now) {
  ++this->consecutive_failures;
  const auto backoff =
      this->timing.initial_backoff *
      (std::int64_t{1} << std::min(this->consecutive_failures - 1, impl::max_backoff_doublings));
  const auto pause = std::min(backoff, this->timing.max_backoff);
  // Multiplies the pause by a random factor between 70 and 130 percent, drawn with xorshift.
  this->random_state ^= this->random_state << 13U;
  this->random_state ^= this->random_state >> 7U;
  this->random_state ^= this->random_state << 17U;
  constexpr std::uint64_t percent_range = 61;
  constexpr std::int64_t min_percent = 70;
  constexpr std::int64_t whole_percent = 100;
  const auto factor_percent = min_percent + static_cast<std::int64_t>(this->random_state % percent_range);
  this->earliest_call_at = now + duration{pause.ms * factor_percent / whole_percent};
}

void object_feed::on_reply(const feed_reply& reply, time_point now) {
  this->call_in_flight = false;
  if (reply.status == feed_status::too_long) {
    // Lists cost the store more than watches, so the longest pause comes before each.
    this->begin_list();
    this->consecutive_failures = impl::max_backoff_doublings;
    this->schedule_retry(now);
    return;
  }
  if (reply.status == feed_status::failed) {
    this->schedule_retry(now);
    return;
  }
  const auto known_version = std::max(this->watch_version, this->list_version.value_or(object_version{}));
  if (reply.status == feed_status::ok && this->listing && reply.store_version < known_version) {
    // This page is older than the known state: it may contain removed objects or lack new ones.
    this->schedule_retry(now);
    return;
  }
  this->consecutive_failures = 0;
  this->responded_at = now;
  // Pages of different eras don't make one list.
  const bool is_other_era = this->list_version && era_of(reply.store_version) != era_of(*this->list_version);
  if (reply.status == feed_status::history_gone || (this->listing && is_other_era)) {
    this->begin_list();
    return;
  }
  if (!this->listing) {
    if (reply.store_version >= this->watch_version) {
      this->confirmed_call_at = this->called_at;
    }
    this->apply_changes(reply);
    this->holds_newer_objects = false;
    const bool ended_early =
        reply.changes.empty() && now - this->called_at < duration{this->timing.watch_timeout.ms / 2};
    this->earliest_call_at = !reply.changes.empty() ? now + this->timing.batch_delay
                             : ended_early          ? now + this->timing.initial_backoff
                                                    : time_point{};
    return;
  }
  if (!this->list_version) {
    this->list_version = reply.store_version;
    this->list_called_at = this->called_at;
  }
  for (const auto& item : reply.items) {
    this->listed_versions[item.name] = item.version;
    this->update_object(item);
  }
  if (reply.has_more && !reply.items.empty()) {
    this->last_listed_name = reply.items.back().name;
  } else {
    this->finish_list();
  }
}

bool object_feed::apply_relayed_changes(const feed_reply& relayed) {
  if (this->listing || this->holds_newer_objects || relayed.status != feed_status::ok) {
    return false;
  }
  this->apply_changes(relayed);
  return true;
}

void object_feed::apply_changes(const feed_reply& reply) {
  for (const auto& change : reply.changes) {
    if (change.deleted) {
      this->remove_object(change.object.name, change.object.version);
    } else if (change.object.version > this->watch_version) {
      // Peers may relay older ones again, also of objects that have been removed since.
      this->update_object(change.object);
    }
  }
  this->watch_version = std::max(this->watch_version, reply.store_version);
}

void object_feed::finish_list() {
  std::vector<std::string> missing;
  for (const auto& [name, object] : this->cached_objects) {
    if (!this->listed_versions.contains(name) && object.version <= *this->list_version) {
      missing.push_back(name);
    }
  }
  for (const auto& name : missing) {
    this->remove_object(name, *this->list_version);
  }
  this->watch_version = std::max(this->watch_version, *this->list_version);
  this->confirmed_call_at = this->list_called_at;
  this->holds_newer_objects =
      std::any_of(this->listed_versions.begin(), this->listed_versions.end(),
                  [this](const auto& each) { return each.second > this->watch_version; });
  this->listed_versions.clear();
  this->last_listed_name.clear();
  this->list_version.reset();
  this->listing = false;
  this->complete = true;
}

void object_feed::update_object(const stored_object& object) {
  auto& cached = this->cached_objects[object.name];
  if (!cached.name.empty() && cached.version >= object.version) {
    return;
  }
  object_change change{object, false};
  if (!cached.name.empty() && era_of(cached.version) < era_of(object.version)) {
    change.replaced = std::move(cached);
  }
  cached = object;
  this->changes.push_back(std::move(change));
}

void object_feed::remove_object(const std::string& name, object_version removal_version) {
  const auto found = this->cached_objects.find(name);
  if (found == this->cached_objects.end() || found->second.version > removal_version) {
    return;
  }
  this->changes.push_back({found->second, true});
  this->changes.back().object.version = removal_version;
  this->cached_objects.erase(found);
}

std::vector<object_change> object_feed::take_changes() {
  return std::exchange(this->changes, {});
}

}  // namespace zinnia
