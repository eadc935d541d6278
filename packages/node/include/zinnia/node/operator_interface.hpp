// What operators and support engineers ask a running node: metrics, status, and the fate of a request.
#pragma once

#include <vector>

#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/caller_connection.hpp"
#include "zinnia/membership/member_table.hpp"
#include "zinnia/observe/metrics.hpp"
#include "zinnia/routing/shift_plan.hpp"

namespace zinnia {

/// \brief What the answers are made from; valid during one call.
struct operator_view {
  const gateway& traffic;
  metrics& counts;
  const live_members& alive;
  const std::vector<shift_progress>& progress;
};

/// \brief   Answers `/metrics`, `/v1/status`, `/v1/requests/ID` and `/v1/entries?region=R&domain=D`.
/// \details 404 for any other path, and for a request that is not among the latest of this node.
void respond_to_operator(caller_exchange& exchange, const operator_view& view);

}  // namespace zinnia
