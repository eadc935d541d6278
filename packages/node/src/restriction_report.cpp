// Formats the restrictions of backend servers.
#include "restriction_report.hpp"

#include <cmath>
#include <string>

namespace zinnia {
namespace impl {
namespace {

constexpr double milli = 1000;

}  // namespace
}  // namespace impl

nlohmann::json restriction_document(const std::vector<backend_restriction>& restrictions) {
  auto list = nlohmann::json::array();
  for (const auto& restriction : restrictions) {
    nlohmann::json entry{{"backend", restriction.backend.str()},
                         {"service", restriction.service.str()},
                         {"domain", restriction.domain.str()},
                         {"reason", to_string(restriction.kind)}};
    if (restriction.remaining) {
      entry["remaining_ms"] = restriction.remaining->ms;
    }
    if (restriction.kind == restriction_kind::limited) {
      entry["limit_per_second"] = restriction.limit_per_second;
      entry["share_per_second"] = restriction.share_per_second;
    }
    if (restriction.kind == restriction_kind::recovering) {
      entry["recovery_limit"] = restriction.recovery_limit;
      entry["recovering_ms"] = restriction.recovering_for.ms;
    }
    list.push_back(std::move(entry));
  }
  return {{"restrictions", std::move(list)}};
}

void append_gauges(const std::vector<backend_restriction>& restrictions, std::vector<gauge>& gauges) {
  for (const auto& restriction : restrictions) {
    const auto labels = label("backend", restriction.backend.str()) + ',' +
                        label("service", restriction.service.str()) + ',' +
                        label("domain", restriction.domain.str());
    const auto labels_with_reason = labels + ',' + label("reason", to_string(restriction.kind));
    gauges.push_back({"zinnia_backend_restricted", labels_with_reason, 1});
    if (restriction.remaining) {
      gauges.push_back({"zinnia_backend_restricted_ms", labels_with_reason, restriction.remaining->ms});
    }
    if (restriction.kind == restriction_kind::limited) {
      gauges.push_back(
          {"zinnia_backend_share_milli", labels, std::llround(restriction.share_per_second * impl::milli)});
    }
  }
}

}  // namespace zinnia
