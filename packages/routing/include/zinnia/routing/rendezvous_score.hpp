// Weighted rendezvous hashing on precomputed hashes.
#pragma once

#include <cstdint>

namespace zinnia {

/// \brief   Returns the score of a candidate for an item; the candidate with the highest score wins.
/// \details Each candidate wins a fraction of all items in proportion to its weight. Adding, removing or
///          reweighting a candidate moves only the items that this candidate wins or loses.
/// \param   weight Greater than 0.
[[nodiscard]] double rendezvous_score(std::uint64_t candidate, std::uint64_t item, double weight) noexcept;

}  // namespace zinnia
