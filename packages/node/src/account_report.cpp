// Formats the use of accounts' limits.
#include "account_report.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace zinnia {
namespace impl {
namespace {

/// Limits the size of the metrics page.
constexpr std::size_t max_accounts_with_gauges = 20;
constexpr double milli = 1000;

void sort_by_rejections(std::vector<account_usage>& usages) {
  std::sort(usages.begin(), usages.end(), [](const auto& a, const auto& b) {
    return std::tie(b.rejected, a.id) < std::tie(a.rejected, b.id);
  });
}

}  // namespace
}  // namespace impl

nlohmann::json account_document(std::vector<account_usage> usages) {
  impl::sort_by_rejections(usages);
  auto list = nlohmann::json::array();
  for (const auto& usage : usages) {
    list.push_back({{"account", usage.id.str()},
                    {"limit_per_second", usage.requests_per_second},
                    {"burst", usage.burst},
                    {"tokens", usage.tokens},
                    {"demand_per_second", usage.demand_per_second},
                    {"admitted_in_window", usage.admitted_in_window},
                    {"admitted", usage.admitted},
                    {"rejected", usage.rejected}});
  }
  return {{"accounts", std::move(list)}};
}

void append_gauges(std::vector<account_usage> usages, std::vector<gauge>& gauges) {
  impl::sort_by_rejections(usages);
  usages.resize(std::min(usages.size(), impl::max_accounts_with_gauges));
  for (const auto& usage : usages) {
    const auto labels = label("account", usage.id.str());
    gauges.push_back({"zinnia_account_admitted", labels, static_cast<std::int64_t>(usage.admitted)});
    gauges.push_back({"zinnia_account_rejected", labels, static_cast<std::int64_t>(usage.rejected)});
    gauges.push_back({"zinnia_account_tokens_milli", labels, std::llround(usage.tokens * impl::milli)});
  }
}

}  // namespace zinnia
