// Estimates the VM's processor and link load from the requests handled.
#pragma once

#include <cstdint>

#include "zinnia/core/clock.hpp"
#include "zinnia/membership/serving_set.hpp"

namespace zinnia {

/// \brief   Moving averages of the load that callers cause. Not thread safe.
/// \details Processor time is estimated from the request rate: the process's own CPU clock is of no use where
///          the VM's share of a core is enforced from outside the VM.
class load_meter {
 public:
  /// \param requests       The number of requests accepted since the start of the process.
  /// \param response_bytes The number of response bytes forwarded since the start of the process.
  void sample(time_point now, std::uint64_t requests, std::uint64_t response_bytes);
  [[nodiscard]] node_load load() const noexcept;

 private:
  time_point sampled_at;
  std::uint64_t previous_requests{0};
  std::uint64_t previous_response_bytes{0};
  double requests_per_s{0};
  double link_kbit{0};
};

}  // namespace zinnia
