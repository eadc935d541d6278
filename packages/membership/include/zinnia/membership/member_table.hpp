// Tracks the registered nodes, their liveness by heartbeats, and the addresses advertised to callers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinnia/accounts/account_limits.hpp"
#include "zinnia/core/clock.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/units.hpp"
#include "zinnia/membership/peer_state_sync.hpp"
#include "zinnia/membership/serving_set.hpp"
#include "zinnia/routing/backend_table.hpp"

namespace zinnia {

/// \brief The registry entry of a node, as the node writes it.
struct member {
  node_id id;
  location where;
  /// Address for callers, as "ip:port".
  std::string caller_address;
  /// Address that receives heartbeats.
  ip_endpoint peer_address;
  /// Address of the operator interface, as "ip:port".
  std::string operator_address;
  incarnation_id incarnation;
  node_capacity capacity;
  /// True if the node is advertised to callers of its failure domain. Set by `member_table::alive`. False for
  /// a node without links to backend servers while any node has links, and for one without a proof of its
  /// configuration while any node has one.
  bool serves{false};
  /// Port at the IP address of `peer_address` that receives holder notices; 0 if the node receives none.
  std::uint16_t notice_port{0};
  /// Port at the IP address of `peer_address` that receives forwarded requests; 0 if the node receives none.
  std::uint16_t forward_port{0};
  /// False if the node has lost its links to all backend servers. Set by `member_table::alive`.
  bool reaches_backends{true};
  /// False if the node has to prove that its configuration is current, and cannot. Set by
  /// `member_table::alive`.
  bool is_confirmed{true};

  friend bool operator==(const member& a, const member& b) noexcept {
    return a.id == b.id && a.incarnation == b.incarnation && a.caller_address == b.caller_address &&
           a.serves == b.serves && a.reaches_backends == b.reaches_backends &&
           a.is_confirmed == b.is_confirmed;
  }
};

/// \brief The state of a node, as it reports it in a heartbeat.
struct node_heartbeat {
  node_id id;
  incarnation_id incarnation;
  /// The node accepts requests.
  bool ready{false};
  /// The node is shutting down.
  bool leaving{false};
  node_load load;
  /// The node watches the store itself instead of following another node.
  bool watching{false};
  /// Version of the latest known change for each kind of object; empty unless `watching`.
  std::vector<object_version> latest_versions;
  state_summary state{};
  /// The node has links to backend servers.
  bool reaches_backends{true};
  /// The node can prove that its configuration is current, or need not.
  bool is_confirmed{true};
};

/// \brief The nodes that are alive and accept requests.
using live_members = std::map<node_id, member>;

/// \brief The addresses at which nodes take notices.
using notice_addresses = std::map<node_id, ip_endpoint>;

/// \brief   The registered nodes and the state received from them in heartbeats. Not thread-safe.
/// \details Liveness is determined by heartbeats alone; the registry only lists the nodes to expect.
class member_table {
 public:
  explicit member_table(node_id self_in) : self{std::move(self_in)} {}

  /// \brief Adds or updates a registered node. A new incarnation resets the state received from the old one.
  void add(const member& registered, time_point now);
  void remove(const node_id& id);
  /// \brief Records a heartbeat. Ignores heartbeats of unregistered nodes and of other incarnations.
  void on_heartbeat(const node_heartbeat& heartbeat, time_point now);
  /// \brief Sets the state of this node itself, which sends itself no heartbeat.
  void set_own_state(bool ready, bool leaving, const node_load& load, bool reaches_backends = true,
                     bool is_confirmed = true) noexcept;

  /// \brief   Returns the nodes that are alive and accept requests.
  /// \details Also updates the choice of serving nodes in each failure domain, and sets `member::serves` and
  ///          `member::reaches_backends` and `member::is_confirmed`.
  [[nodiscard]] live_members alive(time_point now);
  /// \brief Returns the nodes to send heartbeats to, nearest first; empty until this node is registered.
  [[nodiscard]] std::vector<member> peers() const;
  /// \brief   Returns the expired nodes whose registry entry this node should remove.
  /// \details The nearest node that is alive removes an entry; ties are broken by name. This node never
  ///          treats a node as expired if it is not among the peers that receive that node's heartbeats.
  [[nodiscard]] std::vector<node_id> nodes_to_remove(time_point now) const;
  /// \brief Returns the regions that have registered nodes, alive or not.
  [[nodiscard]] std::set<region_id> regions_with_nodes() const;
  /// \brief   Returns the node that should relay store changes to this one.
  /// \details It is a node of the same failure domain that serves callers and watches the store.
  ///          Returns `std::nullopt` if there is none. A serving node also gets `std::nullopt`,
  ///          so that it depends on no other node, unless `max_store_watchers` nodes that it may
  ///          follow already watch. Uses the serving nodes chosen by the last call of `alive`.
  [[nodiscard]] std::optional<member> change_relay_source(time_point now) const;
  /// \brief   Returns the node that should relay store changes to this one while the store refuses this node.
  /// \details It is a node that accepts requests and watches the store, of the same failure domain if there
  /// is
  ///          one, else of the same region, else any. Nodes that follow are not watching, so no nodes follow
  ///          each other in a cycle.
  [[nodiscard]] std::optional<member> nearest_watching_node(time_point now) const;
  /// \brief Returns true if a watching node has reported a change that this node has not yet received.
  /// \param known Version up to which this node knows all changes, for each kind of object.
  [[nodiscard]] bool is_behind(const std::vector<object_version>& known, time_point now) const;
  /// \brief Returns a registered node, alive or not.
  [[nodiscard]] std::optional<member> find(const node_id& id) const;
  /// \brief Returns the other registered nodes in an order that differs from node to node.
  [[nodiscard]] std::vector<node_id> others_in_random_order() const;
  /// \brief   Returns the nodes that hold shares of accounts' limits.
  /// \details Chosen from the registry alone, whatever the nodes' load and state, so that nodes which know
  /// the
  ///          same registry agree: the share of a node that is only disconnected is not given to others.
  [[nodiscard]] const limit_holders& holders_of_limits();
  /// \brief Returns where the registered nodes take notices, alive or not.
  [[nodiscard]] notice_addresses registered_notice_addresses() const;
  /// \brief Changes whenever a node is registered or removed.
  [[nodiscard]] std::uint64_t registry_revision() const noexcept { return this->revision; }
  /// \brief Returns the number of registered nodes, alive or not.
  [[nodiscard]] std::size_t registered_count() const noexcept { return this->members.size(); }

 private:
  struct record {
    member registered;
    node_load load;
    std::vector<object_version> latest_versions;
    bool watching{false};
    /// Valid only if `heartbeat_received`.
    time_point last_heartbeat_at;
    time_point registered_at;
    bool ready{false};
    bool leaving{false};
    bool reaches_backends{true};
    bool is_confirmed{true};
    bool heartbeat_received{false};
  };
  /// Returns true if the other node sends its heartbeats to this one. The other node computes its peers from
  /// the same registry, so this node can repeat the computation.
  [[nodiscard]] bool receives_heartbeats_from(const member& other) const;
  /// Returns true if this node is the nearest of `alive_members` to the expired node; names break ties.
  [[nodiscard]] bool is_nearest_to(const member& expired, const live_members& alive_members) const;
  [[nodiscard]] failure_domain_id own_domain() const;
  [[nodiscard]] live_members accepting_members(time_point now) const;
  [[nodiscard]] bool accepts_requests(const node_id& id, const record& entry, time_point now) const;

  node_id self;
  std::map<node_id, record> members;
  bool self_ready{false};
  bool self_leaving{false};
  bool self_reaches_backends{true};
  bool self_confirmed{true};
  node_load self_load;
  std::uint64_t revision{1};
  // Result of `holders_of_limits` as of that revision.
  limit_holders cached_holders;
  std::uint64_t holders_revision{0};
  // Serving nodes of each failure domain, as chosen by the last call of `alive`.
  std::map<failure_domain_id, std::set<node_id>> serving_by_domain;
};

/// \brief   Returns the caller addresses to advertise to a caller at this location.
/// \details These are the addresses of serving nodes in the caller's failure domain; if there are none, of
///          those in its region; if there are none either, of all others. At most `max_advertised_addresses`.
[[nodiscard]] std::vector<std::string> advertised_addresses(const live_members& alive,
                                                            const location& caller);

/// \brief Interval between heartbeats; about a third of `heartbeat_timeout`.
inline constexpr duration heartbeat_period{300};
/// \brief Time without a heartbeat after which a node is unreachable and no longer advertised to callers.
inline constexpr duration heartbeat_timeout{1000};
/// \brief   Time without a heartbeat after which a node expires and its entry is removed.
/// \details Longer than any restart.
inline constexpr duration member_expiry{15'000};
/// \brief   Time after registration at which a node expires if this node has received no heartbeat from it.
/// \details Longer than `member_expiry`, because such a node may be sending its heartbeats to other peers.
inline constexpr duration member_expiry_without_heartbeat{60'000};
/// \brief Maximum number of nodes that a node sends heartbeats to.
inline constexpr std::size_t max_heartbeat_peers = 24;
/// \brief   Number of serving nodes of a failure domain that watch the store; further ones follow these.
/// \details If one of them fails, one is left to relay changes; without one the others watch the store
/// themselves.
inline constexpr std::size_t max_store_watchers = 2;
/// \brief Maximum number of addresses in one directory response.
inline constexpr std::size_t max_advertised_addresses = 64;

}  // namespace zinnia
