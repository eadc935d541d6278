// The nearest peers that may get a request, and the less loaded of two of them.
#include "zinnia/routing/peer_choice.hpp"

#include <algorithm>
#include <array>
#include <tuple>

namespace zinnia {
namespace impl {
namespace {

/// Period over which the requests sent to a peer are counted.
constexpr duration count_period{1000};
constexpr std::size_t distance_count = 3;

[[nodiscard]] bool is_recent(time_point counting_since, time_point now) noexcept {
  return now - counting_since < count_period;
}

}  // namespace
}  // namespace impl

void peer_choice::set_peers(const std::vector<forwarding_peer>& peers_in) {
  std::map<node_id, peer_state> next;
  for (const auto& peer : peers_in) {
    auto& state = next[peer.id];
    if (const auto known = this->peers.find(peer.id); known != this->peers.end()) {
      state = known->second;
      if (state.peer.address != peer.address) {
        // The node has started again.
        state.excluded_until.reset();
      }
    }
    state.peer = peer;
  }
  this->peers = std::move(next);
}

std::size_t peer_choice::distance(const location& where) const noexcept {
  if (where.domain == this->own_location.domain) {
    return 0;
  }
  return where.region == this->own_location.region ? 1 : 2;
}

bool peer_choice::may_get(const peer_state& state, const peer_request& request, time_point now) const {
  const auto& region = state.peer.where.region;
  const bool in_allowed_region = request.regions.allows(region) || region == this->own_location.region;
  const bool was_tried = request.tried != nullptr && std::find(request.tried->begin(), request.tried->end(),
                                                               state.peer.id) != request.tried->end();
  const bool is_excluded = state.excluded_until && now < *state.excluded_until;
  return in_allowed_region && !was_tried && !is_excluded;
}

bool peer_choice::is_less_loaded(const peer_state& a, const peer_state& b, time_point now) noexcept {
  const auto recently_sent = [&](const peer_state& state) {
    return impl::is_recent(state.counting_since, now) ? state.recently_sent : 0;
  };
  return std::tuple{a.in_flight, recently_sent(a)} < std::tuple{b.in_flight, recently_sent(b)};
}

const forwarding_peer* peer_choice::choose(const peer_request& request, time_point now) const {
  std::array<std::vector<const peer_state*>, impl::distance_count> by_distance;
  for (const auto& [id, state] : this->peers) {
    if (this->may_get(state, request, now)) {
      by_distance.at(this->distance(state.peer.where)).push_back(&state);
    }
  }
  std::vector<const peer_state*> near;
  for (const auto& group : by_distance) {
    if (near.size() < min_spread) {
      near.insert(near.end(), group.begin(), group.end());
    }
  }
  if (near.empty()) {
    return nullptr;
  }
  if (near.size() == 1) {
    return &near.front()->peer;
  }
  const auto first = static_cast<std::size_t>(request.hash % near.size());
  const auto step = 1 + static_cast<std::size_t>(request.hash / near.size() % (near.size() - 1));
  const auto* const a = near[first];
  const auto* const b = near[(first + step) % near.size()];
  return is_less_loaded(*b, *a, now) ? &b->peer : &a->peer;
}

void peer_choice::on_sent(const node_id& id, time_point now) {
  if (const auto found = this->peers.find(id); found != this->peers.end()) {
    auto& state = found->second;
    ++state.in_flight;
    if (!impl::is_recent(state.counting_since, now)) {
      state.recently_sent = 0;
      state.counting_since = now;
    }
    ++state.recently_sent;
  }
}

void peer_choice::on_ended(const node_id& id) noexcept {
  if (const auto found = this->peers.find(id); found != this->peers.end()) {
    found->second.in_flight = std::max(found->second.in_flight - 1, 0);
  }
}

void peer_choice::on_unreachable(const node_id& id, time_point now) {
  this->exclude(id, now + failure_pause);
}

void peer_choice::on_refused(const node_id& id, time_point now) {
  this->exclude(id, now + refusal_pause);
}

void peer_choice::exclude(const node_id& id, time_point until) {
  if (const auto found = this->peers.find(id); found != this->peers.end()) {
    auto& excluded_until = found->second.excluded_until;
    excluded_until = excluded_until ? std::max(*excluded_until, until) : until;
  }
}

int peer_choice::in_flight(const node_id& id) const noexcept {
  const auto found = this->peers.find(id);
  return found == this->peers.end() ? 0 : found->second.in_flight;
}

}  // namespace zinnia
