// Hashing with xxHash, which returns the same value on all machines; std::hash does not guarantee that.
#include "zinnia/core/rendezvous.hpp"

#include <xxhash.h>

#include <memory>

namespace zinnia {

std::uint64_t stable_hash(std::string_view text) noexcept {
  return XXH64(text.data(), text.size(), 0);
}

std::uint64_t stable_hash(const std::vector<std::string_view>& pieces) {
  if (pieces.size() <= 1) {
    return stable_hash(pieces.empty() ? std::string_view{} : pieces.front());
  }
  const std::unique_ptr<XXH64_state_t, decltype(&XXH64_freeState)> state{XXH64_createState(),
                                                                         &XXH64_freeState};
  XXH64_reset(state.get(), 0);
  for (const auto piece : pieces) {
    XXH64_update(state.get(), piece.data(), piece.size());
  }
  return XXH64_digest(state.get());
}

std::uint64_t rendezvous_weight(const std::string& candidate, const std::string& item) noexcept {
  return stable_hash(candidate + '\n' + item);
}

}  // namespace zinnia
