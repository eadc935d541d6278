// Rates over short spans, averaged.
#include "load_meter.hpp"

#include <cmath>

namespace zinnia {
namespace impl {
namespace {

/// Shortest time over which a rate is taken.
constexpr duration least_span{250};
/// Weight of the newest span; a second or two of memory, as callers keep an answer of the directory for two.
constexpr double newest_weight = 0.2;
/// Processor time of a request on a whole core, with the directory and control: docs/MEASUREMENTS.md.
constexpr double request_cpu_ms = 0.3;
constexpr double bits_per_byte = 8;
constexpr double ms_per_s = 1000;

}  // namespace
}  // namespace impl

void load_meter::sample(time_point now, std::uint64_t requests, std::uint64_t answer_bytes) {
  const auto span = now - this->sampled_at;
  if (span < impl::least_span) {
    return;
  }
  if (this->sampled_at.ms != 0) {
    const auto milliseconds = static_cast<double>(span.ms);
    const double rate = static_cast<double>(requests - this->requests_before) * impl::ms_per_s / milliseconds;
    // Bits in a millisecond are kbit/s.
    const double bits = static_cast<double>(answer_bytes - this->bytes_before) * impl::bits_per_byte;
    this->requests_per_s += (rate - this->requests_per_s) * impl::newest_weight;
    this->link_kbit += (bits / milliseconds - this->link_kbit) * impl::newest_weight;
  }
  this->sampled_at = now;
  this->requests_before = requests;
  this->bytes_before = answer_bytes;
}

node_load load_meter::load() const noexcept {
  // A millisecond of processor time in a second is a thousandth of a core.
  return {static_cast<int>(std::lround(this->requests_per_s * impl::request_cpu_ms)),
          static_cast<int>(std::lround(this->link_kbit))};
}

}  // namespace zinnia
