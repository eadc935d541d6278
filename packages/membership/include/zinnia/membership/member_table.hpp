// Which nodes there are, which of them are alive, and which of them a caller is told of.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/units.hpp"
#include "zinnia/membership/serving_set.hpp"
#include "zinnia/routing/backend_table.hpp"

namespace zinnia {

/// \brief A node as it registers itself.
struct member {
  node_id id;
  location where;
  /// Where callers connect, as "ip:port".
  std::string caller_address;
  /// Where heartbeats are sent.
  ip_endpoint peer_address;
  /// Where operators ask, as "ip:port".
  std::string operator_address;
  incarnation_id incarnation;
  node_capacity capacity;
  /// Whether callers of its failure domain are told of it; set by `member_table::alive`.
  bool serves{false};

  friend bool operator==(const member& a, const member& b) noexcept {
    return a.id == b.id && a.incarnation == b.incarnation && a.caller_address == b.caller_address &&
           a.serves == b.serves;
  }
};

/// \brief What a node says of itself in a heartbeat.
struct member_beat {
  node_id id;
  incarnation_id incarnation;
  /// It takes requests.
  bool ready{false};
  /// It is about to stop.
  bool leaving{false};
  node_load load;
  /// It hears of changes from the store itself.
  bool watching{false};
  /// For each kind of object the version of the newest change heard of; empty unless it watches.
  std::vector<object_version> changes;
};

/// \brief Nodes that are alive and take requests.
using live_members = std::map<node_id, member>;

/// \brief   Registered nodes and the heartbeats heard from them. Not thread safe.
/// \details Liveness comes from heartbeats alone; the register only says whom to listen for.
class member_table {
 public:
  explicit member_table(node_id self_in) : self{std::move(self_in)} {}

  void add(const member& registered, time_point now);
  void remove(const node_id& id);
  void on_beat(const member_beat& beat, time_point now);
  /// \brief This node's own state, which needs no heartbeat.
  void set_self(bool ready, bool leaving, const node_load& load) noexcept;

  /// \brief Nodes that take requests, with those marked that callers should be told of.
  [[nodiscard]] live_members alive(time_point now);
  /// \brief Nodes to which heartbeats go, nearest first.
  [[nodiscard]] std::vector<member> peers() const;
  /// \brief   Registered nodes whose entry this node should remove, as they have been silent for long.
  /// \details That is for the nearest living node, the first of those by name. A node that this one does not
  ///          listen to is never judged silent by it.
  [[nodiscard]] std::vector<node_id> to_forget(time_point now) const;
  /// \brief Regions in which nodes are registered, alive or not.
  [[nodiscard]] std::set<region_id> staffed_regions() const;
  /// \brief   The node from which this one should hear of changes in the store.
  /// \details One of its failure domain that serves and watches. Nothing if this node serves itself, so that
  ///          those who carry callers depend on nobody, unless enough others watch already. Looks at the
  ///          marks of the last call of `alive`.
  [[nodiscard]] std::optional<member> news_source(time_point now) const;
  /// \brief Whether a watching node nearby has heard of a change that is not known here.
  /// \param known For each kind the version up to which everything is known.
  [[nodiscard]] bool is_behind(const std::vector<object_version>& known, time_point now) const;
  /// \brief Nodes in the register, heard or not.
  [[nodiscard]] std::size_t registered_count() const noexcept { return this->members.size(); }

 private:
  struct record {
    member registered;
    node_load load;
    std::vector<object_version> changes;
    bool watching{false};
    time_point heard_at;
    time_point registered_at;
    bool ready{false};
    bool leaving{false};
    bool heard{false};
  };
  /// Whether the other node's heartbeats come here, as it must reckon from the same register.
  [[nodiscard]] bool hears(const member& other) const;
  [[nodiscard]] bool is_nearest_to(const member& silent, const live_members& living) const;
  [[nodiscard]] failure_domain_id own_domain() const;
  [[nodiscard]] live_members listening(time_point now) const;
  [[nodiscard]] bool takes_requests(const node_id& id, const record& known, time_point now) const;

  node_id self;
  std::map<node_id, record> members;
  bool self_ready{false};
  bool self_leaving{false};
  node_load self_load;
  // Nodes marked by the last call of `alive`.
  std::map<failure_domain_id, std::set<node_id>> serving;
};

/// \brief   Caller addresses for callers at a place.
/// \details Those of its failure domain if there are any, else those of its region, else all; of these the
/// ones
///          that serve.
[[nodiscard]] std::vector<std::string> addresses_for(const live_members& alive, const location& caller);

/// \brief How often heartbeats are sent; a third of the silence after which a node counts as lost.
inline constexpr duration heartbeat_period{300};
/// \brief Silence after which a node is no longer named to callers.
inline constexpr duration heartbeat_silence{1000};
/// \brief Silence after which a node's entry is removed; longer than any restart.
inline constexpr duration forget_after{15'000};
/// \brief The same for a node that was never heard at all, which may also be one that sends its heartbeats
/// elsewhere.
inline constexpr duration forget_unheard_after{60'000};
/// \brief Most nodes that one node sends heartbeats to.
inline constexpr std::size_t most_heartbeat_peers = 24;
/// \brief Serving nodes of a failure domain that watch the store before further ones follow them; two may
/// fail with two left to tell of changes.
inline constexpr std::size_t most_watching = 4;
/// \brief Most addresses that one answer to a caller names.
inline constexpr std::size_t most_named_addresses = 64;

}  // namespace zinnia
