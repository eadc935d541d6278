// Chooses the nodes to which a node sends its notices.
#pragma once

#include <cstddef>
#include <vector>

#include "zinnia/core/endpoint.hpp"
#include "zinnia/membership/member_table.hpp"

namespace zinnia {

/// \brief Upper limit on the nodes that one node sends notices to, so that their number stays proportional to
///        the number of nodes.
inline constexpr std::size_t max_notice_peers = 64;

/// \brief Returns the addresses of the serving nodes that get holder notices: others place no requests.
[[nodiscard]] std::vector<ip_endpoint> holder_notice_peers(const live_members& alive, const node_id& self);

/// \brief Returns the addresses of the nodes that get crash reports: of all that are registered, since a node
///        gets heartbeats only from those near it, and callers may still reach a node that stands by.
[[nodiscard]] std::vector<ip_endpoint> crash_report_peers(const notice_addresses& registered,
                                                          const node_id& self);

}  // namespace zinnia
