// Hashing with xxHash, which returns the same value on all machines; std::hash does not guarantee that.
#include "zinnia/core/rendezvous.hpp"

#include <xxhash.h>

namespace zinnia {

std::uint64_t stable_hash(std::string_view text) noexcept {
  return XXH64(text.data(), text.size(), 0);
}

std::uint64_t rendezvous_weight(const std::string& candidate, const std::string& item) noexcept {
  return stable_hash(candidate + '\n' + item);
}

}  // namespace zinnia
