// Weighted rendezvous hashing on hashes computed beforehand.
#pragma once

#include <cstdint>

namespace zinnia {

/// \brief   The score of a candidate for an item; the highest score wins.
/// \details Among candidates each wins a part of all items in proportion to its weight, and a change of one
///          candidate moves only items that it wins or loses.
/// \param   weight Greater than 0.
[[nodiscard]] double rendezvous_score(std::uint64_t candidate, std::uint64_t item, double weight) noexcept;

}  // namespace zinnia
