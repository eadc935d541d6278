// The part of the control thread that hears of changes from another node, and tells others.
#include <algorithm>
#include <limits>

#include "news_follower.hpp"
#include "zinnia/node/control_thread.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How long a node that follows another may know less than some other node before it asks the store itself;
/// its source sends on what it hears within a pause of 200 ms and one of 150 ms.
constexpr duration news_patience{500};
/// How long it then watches the store itself.
constexpr duration distrust_pause{3000};

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

void control_thread::tell_watching() {
  const bool watching = this->is_watching();
  if (watching != this->told_watching) {
    this->told_watching = watching;
    this->told.set_watching(watching);
    this->events.on_board();
  }
}

void control_thread::follow_news(time_point now) {
  auto known = this->known_versions();
  // Nodes watch each other by heartbeats; late news of their register is harmless.
  known.back() = object_version{std::numeric_limits<std::int64_t>::max()};
  const bool is_behind = this->members.is_behind(known, now);
  this->behind_since = is_behind ? std::min(this->behind_since, now) : end_of_time;
  if (this->follower->is_following() && now - this->behind_since > impl::news_patience) {
    this->stop_following("another node has heard of more");
  }
  const bool has_all = std::none_of(this->watches.begin(), this->watches.end(),
                                    [](const watched_kind& watched) { return watched.feed.is_listing(); });
  const bool may_follow = has_all && this->ready && !this->leaving && now >= this->follow_not_before;
  const auto source = may_follow ? this->members.news_source(now) : std::nullopt;
  if (!source && this->follower->is_following()) {
    this->stop_following("no node to follow");
  }
  if (source) {
    if (!this->follower->is_following()) {
      log_line{log_level::info, "follows_node"}.field("source", source->id.str());
    }
    this->follower->follow(source);
    const bool is_all_relayed = std::all_of(this->watches.begin(), this->watches.end(),
                                            [](const watched_kind& watched) { return watched.relayed; });
    this->follower->poll(now, is_all_relayed);
  }
  this->tell_watching();
}

void control_thread::on_news(const std::vector<feed_reply>& news) {
  if (news.size() != this->watches.size()) {
    this->stop_following("another number of kinds");
    return;
  }
  for (std::size_t i = 0; i < news.size(); ++i) {
    auto& watched = this->watches[i];
    // A kind whose changes the source cannot tell is asked of the store until it can.
    const bool is_relayed = watched.feed.apply_relayed_changes(news[i]);
    if (is_relayed && !watched.relayed) {
      this->cancel_call(watched);
    }
    watched.relayed = is_relayed;
    this->take_changes(watched);
  }
}

void control_thread::stop_following(const std::string& cause) {
  log_line{log_level::info, "watches_store_again"}.field("cause", cause);
  this->follower->follow(std::nullopt);
  this->follow_not_before = this->clock.now() + impl::distrust_pause;
  for (auto& watched : this->watches) {
    watched.relayed = false;
  }
}

}  // namespace zinnia
