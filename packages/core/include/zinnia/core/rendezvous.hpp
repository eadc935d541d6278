// Rendezvous hashing: all nodes rank the same candidates in the same order without communication.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia {

/// \brief   Returns the weight of a candidate for an item. The candidate with the highest weight is chosen.
/// \details Stable across machines and versions, since all nodes must compute the same weight.
[[nodiscard]] std::uint64_t rendezvous_weight(const std::string& candidate, const std::string& item) noexcept;

/// \brief Returns a 64-bit hash that is stable across machines and versions.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text) noexcept;

/// \brief Returns the same hash of a text that is given in pieces.
[[nodiscard]] std::uint64_t stable_hash(const std::vector<std::string_view>& pieces);

}  // namespace zinnia
