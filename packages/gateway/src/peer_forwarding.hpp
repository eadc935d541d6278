// Connections to the nodes that serve this node's requests while it cannot reach the backend servers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/http/backend_pool.hpp"
#include "zinnia/routing/declarations.hpp"
#include "zinnia/routing/peer_choice.hpp"

namespace zinnia {

/// \brief   Lends connections to peers. Not thread safe.
/// \details Each connection lent out carries one request.
class peer_forwarding {
 public:
  /// A connection to a peer, lent for one request.
  struct lent_connection {
    node_id peer;
    std::shared_ptr<backend_connection> connection;
  };
  /// How a request at a peer ended, as far as it says something about the peer.
  enum class ending : unsigned char { answered, refused, unreachable };

  peer_forwarding(boost::asio::io_context& context_in, const clock_source& clock_in, location own_location);

  /// \param registered_count The number of nodes that share the connections which a peer accepts.
  void set_peers(const std::vector<forwarding_peer>& peers, std::size_t registered_count);
  /// \brief Returns a connection to a peer that may serve the request, or nullopt if there is none.
  [[nodiscard]] std::optional<lent_connection> acquire(const peer_request& request);
  /// \brief Returns true if `acquire` would find a peer.
  [[nodiscard]] bool has_peer(const peer_request& request) const;
  void release(lent_connection lent, ending how);
  /// \brief Closes idle connections that have expired, and removes the pools of nodes that are no peers.
  void clean_up();

 private:
  boost::asio::io_context& context;
  const clock_source& clock;
  peer_choice choice;
  std::map<node_id, std::unique_ptr<backend_pool>> pools;
  std::set<node_id> known;
  std::size_t max_connections_per_peer;
};

}  // namespace zinnia
