// The restrictions of backend servers as JSON and as metrics.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "zinnia/observe/metrics.hpp"
#include "zinnia/routing/backend_restriction.hpp"

namespace zinnia {

/// \brief   Returns `{"restrictions": [{"backend", "service", "domain", "reason"}, ...]}`.
/// \details A suspended or busy server also has `remaining_ms`, and a limited one `limit_per_second` and
///          `share_per_second`.
[[nodiscard]] nlohmann::json restriction_document(const std::vector<backend_restriction>& restrictions);

/// \brief   Adds a gauge for each restriction.
/// \details `zinnia_backend_restricted` is 1; `zinnia_backend_restricted_ms` is the time until the end of the
///          busy time or the next health check; `zinnia_backend_share_milli` is this node's part of a rate
///          limit in thousandths of a request per second.
void append_gauges(const std::vector<backend_restriction>& restrictions, std::vector<gauge>& gauges);

}  // namespace zinnia
