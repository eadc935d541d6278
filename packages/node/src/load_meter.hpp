// How much of its VM this process used lately.
#pragma once

#include <cstdint>

#include "zinnia/core/clock.hpp"
#include "zinnia/membership/serving_set.hpp"

namespace zinnia {

/// \brief   Running averages of the work that callers bring. Not thread safe.
/// \details Processor time is reckoned from requests: the process's own clock says nothing useful where a
/// VM's
///          share of a core is enforced from outside.
class load_meter {
 public:
  /// \param requests     Requests taken since the start of the process.
  /// \param answer_bytes Bytes of answers passed on since then.
  void sample(time_point now, std::uint64_t requests, std::uint64_t answer_bytes);
  [[nodiscard]] node_load load() const noexcept;

 private:
  time_point sampled_at;
  std::uint64_t requests_before{0};
  std::uint64_t bytes_before{0};
  double requests_per_s{0};
  double link_kbit{0};
};

}  // namespace zinnia
