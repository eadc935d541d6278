// Chooses the node that serves a request of this node while this node cannot reach the backend servers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/routing/backend_table.hpp"

namespace zinnia {

/// \brief A node that accepts requests of other nodes and reaches the backend servers.
struct forwarding_peer {
  node_id id;
  location where;
  /// Where it listens for forwarded requests.
  ip_endpoint address;
};

/// \brief The properties of a request that the choice of a peer depends on.
struct peer_request {
  /// Regions in which the request may be handled. The own region is always allowed.
  region_filter regions;
  /// Peers that earlier tries of the same request used.
  const std::vector<node_id>* tried{nullptr};
  /// Selects the peers that are compared.
  std::uint64_t hash{0};
};

/// \brief   Distributes requests over the peers that can serve them. Not thread safe.
///
/// \details The peers of the nearest location are considered, and those of the next nearest if there are
/// fewer
///          than `min_spread`. Of two of them, chosen by the request's hash, the one with fewer requests in
///          flight gets the request; then the one that got fewer recently. So no peer gets all requests, and
///          a slow one gets fewer.
class peer_choice {
 public:
  explicit peer_choice(location own_location_in) : own_location{std::move(own_location_in)} {}

  /// \brief Replaces the peers. Keeps what is known of those that remain.
  void set_peers(const std::vector<forwarding_peer>& peers_in);
  /// \brief Returns the peer for a request, or nullptr if there is none. Valid until `set_peers`.
  [[nodiscard]] const forwarding_peer* choose(const peer_request& request, time_point now) const;

  void on_sent(const node_id& id, time_point now);
  /// \brief Records the end of a request at the peer, with or without a response.
  void on_ended(const node_id& id) noexcept;
  /// \brief Leaves the peer out until `failure_pause` has passed: it could not be reached.
  void on_unreachable(const node_id& id, time_point now);
  /// \brief Leaves the peer out until `refusal_pause` has passed: it has no room, or cannot reach the backend
  ///        servers either.
  void on_refused(const node_id& id, time_point now);

  [[nodiscard]] int in_flight(const node_id& id) const noexcept;

  /// The number of peers over which requests are spread, if there are that many.
  static constexpr std::size_t min_spread = 2;
  static constexpr duration failure_pause{2000};
  static constexpr duration refusal_pause{300};

 private:
  struct peer_state {
    forwarding_peer peer;
    int in_flight{0};
    // Requests sent since `counting_since`, which is at most `count_period` ago.
    int recently_sent{0};
    time_point counting_since;
    std::optional<time_point> excluded_until;
  };
  /// 0 for the own failure domain, 1 for the own region, 2 for others.
  [[nodiscard]] std::size_t distance(const location& where) const noexcept;
  [[nodiscard]] bool may_get(const peer_state& state, const peer_request& request, time_point now) const;
  [[nodiscard]] static bool is_less_loaded(const peer_state& a, const peer_state& b, time_point now) noexcept;
  void exclude(const node_id& id, time_point until);

  location own_location;
  std::map<node_id, peer_state> peers;
};

}  // namespace zinnia
