// Who holds what in one region: the object in the platform's store that every change of holder goes through.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "zinnia/core/ids.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/core/units.hpp"

namespace zinnia {

/// \brief A node that takes part in a region.
struct node_entry {
  failure_domain_id domain;
  incarnation_id incarnation;
  /// A takeover needs all of them; empty if there is no other node.
  std::set<node_id> heirs;
  /// Heirs that will promise nothing more until the next renewal, and whether they know, or cannot rule out,
  /// that this node dispatched ahead of its journal.
  std::map<node_id, bool> released;
  /// Grows with each renewal through the store.
  std::int64_t renewal{0};
  bool leaving{false};
  /// Its key homes may dispatch ahead of their journal during an outage of the store. Set before they do.
  bool may_defer{false};
  /// Where callers reach it, as "ip:port".
  std::string caller_address;
  /// Where other nodes reach it, as "ip:port".
  std::string peer_address;

  friend bool operator==(const node_entry&, const node_entry&) = default;
};

/// \brief One holding and its holder.
struct holding_entry {
  node_id holder;
  epoch held_since;
  /// The last holder did not hand over, so its requests may still run.
  bool unplanned{false};
  /// Key buckets only: keys minted before this moment may have run without a journal entry; 0 if none.
  std::int64_t blind_before_unix_ms{0};

  friend bool operator==(const holding_entry&, const holding_entry&) = default;
};

/// \brief A cap that the nodes of a region share: requests of one service in flight to another region.
struct share_key {
  region_id to;
  service_id service;

  friend auto operator<=>(const share_key&, const share_key&) = default;
};

/// \brief   The holdings of one region.
/// \details Invariants: a holding has one holder; epochs never repeat; for each share key the sum over all
///          nodes, dead ones included, is at most the cap.
struct holdings_table {
  std::map<node_id, node_entry> nodes;
  std::map<holding_id, holding_entry> holdings;
  std::map<share_key, std::map<node_id, std::int64_t>> shares;
  std::int64_t next_epoch{1};
  /// Unique for each write, so that a write whose answer was lost can be recognised.
  std::string write_id;

  /// \brief Gives a holding to a node under a new epoch.
  void assign(const holding_id& holding, const node_id& to, bool unplanned);
  /// \brief Sum of a cap's shares over all nodes.
  [[nodiscard]] std::int64_t share_sum(const share_key& key) const;
  [[nodiscard]] bool is_member(const node_id& node, const incarnation_id& incarnation) const;

  friend bool operator==(const holdings_table&, const holdings_table&) = default;
};

[[nodiscard]] std::string encode(const holdings_table& table);
[[nodiscard]] result<holdings_table> decode_holdings_table(const std::string& text);

/// \name Names of holdings
/// \{
[[nodiscard]] holding_id slots_holding(const service_id& service, const upstream_id& upstream);
[[nodiscard]] holding_id bucket_holding(std::int64_t bucket);
/// \brief Holdings that are balanced together, such as all upstreams of one service.
[[nodiscard]] std::string holding_class(const holding_id& holding);
/// \brief The bucket's number, or -1 for other holdings.
[[nodiscard]] std::int64_t bucket_of(const holding_id& holding);
/// \}

}  // namespace zinnia
