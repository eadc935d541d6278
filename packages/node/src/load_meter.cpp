// Exponential moving averages of rates over short intervals.
#include "load_meter.hpp"

#include <cmath>

namespace zinnia {
namespace impl {
namespace {

/// The shortest interval over which a rate is computed.
constexpr duration min_sample_interval{250};
/// With this weight the average covers the last one to two seconds, since callers cache a directory response
/// for two.
constexpr double newest_sample_weight = 0.2;
/// Processor time for each request on a whole core, including directory and control work; see
/// docs/MEASUREMENTS.md.
constexpr double cpu_ms_per_request = 0.3;
constexpr double bits_per_byte = 8;
constexpr double ms_per_s = 1000;

}  // namespace
}  // namespace impl

void load_meter::sample(time_point now, std::uint64_t requests, std::uint64_t response_bytes) {
  const auto interval = now - this->sampled_at;
  if (interval < impl::min_sample_interval) {
    return;
  }
  if (this->sampled_at.ms != 0) {
    const auto milliseconds = static_cast<double>(interval.ms);
    const double rate =
        static_cast<double>(requests - this->previous_requests) * impl::ms_per_s / milliseconds;
    // Bits per millisecond are kbit/s.
    const double bits =
        static_cast<double>(response_bytes - this->previous_response_bytes) * impl::bits_per_byte;
    this->requests_per_s += (rate - this->requests_per_s) * impl::newest_sample_weight;
    this->link_kbit += (bits / milliseconds - this->link_kbit) * impl::newest_sample_weight;
  }
  this->sampled_at = now;
  this->previous_requests = requests;
  this->previous_response_bytes = response_bytes;
}

node_load load_meter::load() const noexcept {
  // One millisecond of processor time per second is a thousandth of a core.
  return {static_cast<int>(std::lround(this->requests_per_s * impl::cpu_ms_per_request)),
          static_cast<int>(std::lround(this->link_kbit))};
}

}  // namespace zinnia
