// The feed's transitions.
#include "zinnia/store/object_feed.hpp"

#include <algorithm>
#include <utility>

namespace zinnia {

object_feed::object_feed(feed_timing timing_in, std::uint64_t seed)
    : timing{timing_in}, random_state{seed | 1U} {}

std::optional<feed_call> object_feed::next(time_point now) {
  if (this->under_way || now < this->not_before) {
    return std::nullopt;
  }
  this->under_way = true;
  this->asked_at = now;
  feed_call call;
  if (this->listing) {
    call.after = this->list_after;
  } else {
    call.what = feed_call::type::watch;
    call.since = this->watch_from;
    call.wait = this->timing.watch_wait;
  }
  return call;
}

time_point object_feed::next_at() const noexcept {
  return this->under_way ? far_future : this->not_before;
}

void object_feed::restart() noexcept {
  this->under_way = false;
  this->not_before = {};
}

void object_feed::fail(time_point now) {
  ++this->failures_in_a_row;
  constexpr int most_doublings = 10;
  const auto doubled =
      this->timing.first_pause * (std::int64_t{1} << std::min(this->failures_in_a_row - 1, most_doublings));
  const auto pause = std::min(doubled, this->timing.longest_pause);
  // xorshift; the pause lies between 70 and 130 percent.
  this->random_state ^= this->random_state << 13U;
  this->random_state ^= this->random_state >> 7U;
  this->random_state ^= this->random_state << 17U;
  constexpr std::uint64_t spread = 61;
  constexpr std::int64_t least_percent = 70;
  constexpr std::int64_t percent = 100;
  const auto part = least_percent + static_cast<std::int64_t>(this->random_state % spread);
  this->not_before = now + duration{pause.ms * part / percent};
}

void object_feed::on_reply(const feed_reply& reply, time_point now) {
  this->under_way = false;
  if (reply.status == feed_status::failed) {
    this->fail(now);
    return;
  }
  const auto known_version = std::max(this->watch_from, this->list_version.value_or(object_version{}));
  if (reply.status == feed_status::ok && this->listing && reply.newest < known_version) {
    // A page older than what is known: it may name objects that are gone, or lack new ones.
    this->fail(now);
    return;
  }
  this->failures_in_a_row = 0;
  this->answered_at = now;
  if (reply.status == feed_status::history_gone) {
    this->listing = true;
    this->list_after.clear();
    this->list_version.reset();
    this->listed.clear();
    return;
  }
  if (!this->listing) {
    this->apply(reply);
    const bool is_early =
        reply.changes.empty() && now - this->asked_at < duration{this->timing.watch_wait.ms / 2};
    this->not_before = !reply.changes.empty() ? now + this->timing.settle_pause
                       : is_early             ? now + this->timing.first_pause
                                              : time_point{};
    return;
  }
  if (!this->list_version) {
    this->list_version = reply.newest;
  }
  for (const auto& item : reply.items) {
    this->listed[item.name] = item.version;
    this->take(item);
  }
  if (reply.has_more && !reply.items.empty()) {
    this->list_after = reply.items.back().name;
  } else {
    this->finish_list();
  }
}

bool object_feed::take_news(const feed_reply& news) {
  if (this->listing || news.status != feed_status::ok) {
    return false;
  }
  this->apply(news);
  return true;
}

void object_feed::apply(const feed_reply& watched) {
  for (const auto& change : watched.changes) {
    if (change.deleted) {
      this->drop(change.object.name, change.object.version);
    } else {
      this->take(change.object);
    }
  }
  this->watch_from = std::max(this->watch_from, watched.newest);
}

void object_feed::finish_list() {
  std::vector<std::string> missing;
  for (const auto& [name, object] : this->known) {
    if (!this->listed.contains(name) && object.version <= *this->list_version) {
      missing.push_back(name);
    }
  }
  for (const auto& name : missing) {
    this->drop(name, *this->list_version);
  }
  this->watch_from = std::max(this->watch_from, *this->list_version);
  this->listed.clear();
  this->list_after.clear();
  this->list_version.reset();
  this->listing = false;
  this->complete = true;
}

void object_feed::take(const stored_object& object) {
  auto& present = this->known[object.name];
  if (!present.name.empty() && present.version >= object.version) {
    return;
  }
  present = object;
  this->changes.push_back({object, false});
}

void object_feed::drop(const std::string& name, object_version at) {
  const auto found = this->known.find(name);
  if (found == this->known.end() || found->second.version > at) {
    return;
  }
  this->changes.push_back({found->second, true});
  this->changes.back().object.version = at;
  this->known.erase(found);
}

std::vector<object_change> object_feed::take_changes() {
  return std::exchange(this->changes, {});
}

}  // namespace zinnia
