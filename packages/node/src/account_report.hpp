// The use of accounts' limits as JSON and as metrics.
#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "zinnia/accounts/account_limits.hpp"
#include "zinnia/observe/metrics.hpp"

namespace zinnia {

/// \brief Returns `{"accounts": [{"account", "limit_per_second", "burst", "tokens", "demand_per_second",
///        "admitted_in_window", "admitted", "rejected"}, ...]}`, most rejections first.
[[nodiscard]] nlohmann::json account_document(std::vector<account_usage> usages);

/// \brief Adds gauges for the 20 accounts with most rejections.
void append_gauges(std::vector<account_usage> usages, std::vector<gauge>& gauges);

}  // namespace zinnia
