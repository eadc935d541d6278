// Pools of connections to peers and what their failures say about the peers.
#include "peer_forwarding.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "zinnia/gateway/forwarding_limits.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {

peer_forwarding::peer_forwarding(boost::asio::io_context& context_in, const clock_source& clock_in,
                                 location own_location)
    : context{context_in},
      clock{clock_in},
      choice{std::move(own_location)},
      max_connections_per_peer{max_forwarding_connections} {}

void peer_forwarding::set_peers(const std::vector<forwarding_peer>& peers, std::size_t registered_count) {
  this->max_connections_per_peer =
      std::max<std::size_t>(max_forwarding_connections / std::max<std::size_t>(registered_count, 1), 1);
  this->known.clear();
  std::vector<forwarding_peer> usable;
  for (const auto& peer : peers) {
    boost::system::error_code problem;
    const auto ip = boost::asio::ip::make_address_v4(peer.address.ip, problem);
    if (problem || peer.address.port == 0) {
      log_line{log_level::error, "peer_address_unreadable"}
          .field("peer", peer.id.str())
          .field("address", peer.address.str());
      continue;
    }
    const boost::asio::ip::tcp::endpoint address{ip, peer.address.port};
    auto& pool = this->pools[peer.id];
    if (pool == nullptr) {
      pool = std::make_unique<backend_pool>(this->context, address, this->clock);
    } else if (pool->endpoint() != address) {
      pool->set_endpoint(address);
    }
    this->known.insert(peer.id);
    usable.push_back(peer);
  }
  this->choice.set_peers(usable);
}

std::optional<peer_forwarding::lent_connection> peer_forwarding::acquire(const peer_request& request) {
  const auto now = this->clock.now();
  auto tried = request.tried == nullptr ? std::vector<node_id>{} : *request.tried;
  auto narrowed = request;
  narrowed.tried = &tried;
  while (const auto* const peer = this->choice.choose(narrowed, now)) {
    if (auto connection = this->pools.at(peer->id)->acquire(this->max_connections_per_peer)) {
      this->choice.on_sent(peer->id, now);
      return lent_connection{peer->id, std::move(connection)};
    }
    tried.push_back(peer->id);
  }
  return std::nullopt;
}

bool peer_forwarding::has_peer(const peer_request& request) const {
  return this->choice.choose(request, this->clock.now()) != nullptr;
}

void peer_forwarding::release(lent_connection lent, ending how) {
  if (const auto pool = this->pools.find(lent.peer); pool != this->pools.end()) {
    pool->second->release(std::move(lent.connection));
  }
  this->choice.on_ended(lent.peer);
  if (how == ending::unreachable) {
    this->choice.on_unreachable(lent.peer, this->clock.now());
  } else if (how == ending::refused) {
    this->choice.on_refused(lent.peer, this->clock.now());
  }
}

void peer_forwarding::clean_up() {
  for (auto pool = this->pools.begin(); pool != this->pools.end();) {
    pool->second->close_expired();
    const bool is_known = this->known.contains(pool->first);
    if (!is_known) {
      pool->second->close_idle();
    }
    pool = !is_known && pool->second->is_unused() ? this->pools.erase(pool) : std::next(pool);
  }
}

}  // namespace zinnia
