// The start of a node, and later hints from heartbeats.
#include "zinnia/membership/peer_state_sync.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

/// Nodes asked at the same time, and altogether, at a start.
constexpr std::size_t max_asked_together = 4;
constexpr std::size_t max_candidates = 12;
/// How long a start waits for nodes that may be unreachable.
constexpr duration start_limit{600};
/// The same once a node has replied that it has not noticed yet that the store was restored.
constexpr duration start_limit_with_peers{2500};
/// Pause before such a node is asked again.
constexpr duration repeat_pause{100};
/// Minimum pause between questions after the start.
constexpr duration ask_pause{300};
/// How long a node's configuration may be older than another's: the store or a relay is about to deliver it.
constexpr duration max_configuration_lag{700};
constexpr std::size_t max_known_digests = 64;

}  // namespace
}  // namespace impl

void peer_state_sync::expect(time_point now) noexcept {
  this->expected_at = this->expected_at.value_or(now);
}

void peer_state_sync::begin(std::vector<node_id> candidates, time_point now) {
  this->expect(now);
  this->begun = true;
  candidates.resize(std::min(candidates.size(), impl::max_candidates));
  for (auto& candidate : candidates) {
    this->waiting.emplace_back(std::move(candidate), now);
  }
  this->done = this->waiting.empty();
}

void peer_state_sync::ask_again(std::vector<node_id> candidates, time_point now) {
  if (!this->is_done(now)) {
    // The start asks already.
    return;
  }
  this->ask_again_until = now + impl::start_limit_with_peers;
  candidates.resize(std::min(candidates.size(), impl::max_asked_together));
  this->waiting.clear();
  for (auto& candidate : candidates) {
    this->waiting.emplace_back(std::move(candidate), now);
  }
}

time_point peer_state_sync::start_limit() const noexcept {
  return this->expected_at.value_or(far_future) +
         (this->waits_for_peers ? impl::start_limit_with_peers : impl::start_limit);
}

bool peer_state_sync::is_done(time_point now) const noexcept {
  return this->done || now >= this->start_limit();
}

void peer_state_sync::end_start() noexcept {
  this->done = true;
  this->ask_again_until = {};
  this->waiting.clear();
}

void peer_state_sync::on_heartbeat(const node_id& from, const state_summary& theirs, const state_summary& own,
                                   time_point now) {
  this->newest_configuration = std::max(this->newest_configuration, theirs.configuration);
  this->behind_since =
      own.configuration >= this->newest_configuration ? far_future : std::min(this->behind_since, now);
  const bool is_behind =
      theirs.configuration > own.configuration && now - this->behind_since >= impl::max_configuration_lag;
  const bool is_new_digest = theirs.retained_digest != 0 && theirs.retained_digest != own.retained_digest &&
                             std::find(this->known_digests.begin(), this->known_digests.end(),
                                       theirs.retained_digest) == this->known_digests.end();
  if (is_behind || is_new_digest) {
    this->ahead = from;
    this->ahead_digest = theirs.retained_digest;
  } else if (this->ahead == from) {
    this->ahead.reset();
  }
}

std::vector<node_id> peer_state_sync::take_due(time_point now) {
  std::vector<node_id> due;
  if (!this->begun) {
    return due;
  }
  if (this->is_asking(now)) {
    for (auto next = this->waiting.begin();
         next != this->waiting.end() && this->asked.size() < impl::max_asked_together;) {
      if (next->second > now) {
        ++next;
        continue;
      }
      if (!this->asked.try_emplace(next->first, 0).second) {
        next = this->waiting.erase(next);
        continue;
      }
      due.push_back(std::move(next->first));
      next = this->waiting.erase(next);
    }
  }
  if (this->is_done(now) && this->ahead && now >= this->next_ask_at && !this->asked.contains(*this->ahead)) {
    this->next_ask_at = now + impl::ask_pause;
    this->asked.emplace(*this->ahead, this->ahead_digest);
    due.push_back(*this->ahead);
    this->ahead.reset();
    this->behind_since = far_future;
  }
  return due;
}

time_point peer_state_sync::next_action_at(time_point now) const noexcept {
  auto next = far_future;
  if (!this->is_done(now)) {
    next = this->start_limit();
  } else if (this->ahead) {
    next = this->next_ask_at;
  }
  if (this->is_asking(now) && this->asked.size() < impl::max_asked_together) {
    for (const auto& [candidate, at] : this->waiting) {
      next = std::min(next, at);
    }
  }
  return next;
}

void peer_state_sync::on_reply(const node_id& from, state_reply reply, time_point now) {
  const auto found = this->asked.find(from);
  const auto digest = found == this->asked.end() ? 0 : found->second;
  if (found != this->asked.end()) {
    this->asked.erase(found);
  }
  if (reply == state_reply::applied) {
    this->end_start();
    if (digest != 0) {
      this->known_digests.push_back(digest);
      if (this->known_digests.size() > impl::max_known_digests) {
        this->known_digests.pop_front();
      }
    }
    return;
  }
  if (!this->is_asking(now)) {
    return;
  }
  if (reply == state_reply::too_early) {
    this->waits_for_peers = true;
    this->waiting.emplace_back(from, now + impl::repeat_pause);
  }
  if (this->waiting.empty() && this->asked.empty()) {
    this->end_start();
  }
}

}  // namespace zinnia
