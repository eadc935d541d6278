// Hash mixing and the mapping of a hash to a score.
#include "zinnia/routing/rendezvous_score.hpp"

#include <cmath>

namespace zinnia {
namespace impl {
namespace {

/// The finaliser of splitmix64.
[[nodiscard]] std::uint64_t mix(std::uint64_t value) noexcept {
  value ^= value >> 30U;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27U;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31U);
}

/// Significand bits of a double, so that the quotient below is exact and less than 1.
constexpr unsigned fraction_bits = 53;

}  // namespace
}  // namespace impl

double rendezvous_score(std::uint64_t candidate, std::uint64_t item, double weight) noexcept {
  const auto hash = impl::mix(candidate ^ impl::mix(item));
  const auto top = static_cast<double>(hash >> (64U - impl::fraction_bits)) + 0.5;
  const double uniform = top / static_cast<double>(1ULL << impl::fraction_bits);
  return -weight / std::log(uniform);
}

}  // namespace zinnia
