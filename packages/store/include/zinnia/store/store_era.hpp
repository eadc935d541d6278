// Versions of objects in a store that may be restored from a copy.
#pragma once

#include <cstdint>

#include "zinnia/core/units.hpp"

namespace zinnia {

/// \name Eras
/// The store counts revisions. After it was restored from a copy, it gives out again those that the copy
/// lacks, and begins a new era. A version holds both, the era in the high bits: each version of a later era
/// is higher than all of earlier ones, and nothing else has to know of eras to compare them.
/// \{
inline constexpr int revision_bits = 40;
inline constexpr std::int64_t max_revision = (std::int64_t{1} << revision_bits) - 1;
inline constexpr std::int64_t max_era = (std::int64_t{1} << (62 - revision_bits)) - 1;

[[nodiscard]] constexpr object_version make_version(std::int64_t era, std::int64_t revision) noexcept {
  return object_version{(era << revision_bits) | revision};
}
[[nodiscard]] constexpr std::int64_t era_of(object_version version) noexcept {
  return version.count() >> revision_bits;
}
[[nodiscard]] constexpr std::int64_t revision_of(object_version version) noexcept {
  return version.count() & max_revision;
}
/// \}

}  // namespace zinnia
