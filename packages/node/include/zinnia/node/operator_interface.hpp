// The HTTP interface of a node for operators and support engineers: metrics, status and the fate of requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/caller_connection.hpp"
#include "zinnia/membership/member_table.hpp"
#include "zinnia/observe/metrics.hpp"
#include "zinnia/routing/shift_plan.hpp"

namespace zinnia {

/// \brief Connections at all listeners of a node together.
struct connection_counts {
  std::size_t open{0};
  /// Closed, or not accepted, because there were too many.
  std::uint64_t evicted{0};
};

/// \brief The data that responses are built from. The references need to be valid during one call only.
struct operator_view {
  const gateway& traffic;
  metrics& counts;
  const live_members& alive;
  const std::vector<shift_progress>& progress;
  connection_counts connections{};
};

/// \brief   Responds to `/metrics`, `/v1/status`, `/v1/servers` (restricted backend servers),
/// `/v1/requests/ID`, `/v1/accounts` (limits of accounts in use)
///          and `/v1/entries?region=R&domain=D`.
/// \details Responds with 404 to any other path, and to an ID that is not among the latest requests of this
///          node.
void respond_to_operator(caller_exchange& exchange, const operator_view& view);

}  // namespace zinnia
