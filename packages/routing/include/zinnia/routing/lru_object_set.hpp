// Which objects a backend server has handled lately, as far as this node has seen.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

namespace zinnia {

/// \brief   A bounded set of hashes that forgets the least recently used.
/// \details Mirrors the memory of a backend server, which answers faster for an object that it still holds.
class lru_object_set {
 public:
  void touch(std::uint64_t object, std::size_t most);
  [[nodiscard]] bool contains(std::uint64_t object) const { return this->last_use.contains(object); }
  void clear() { this->last_use.clear(); }
  [[nodiscard]] std::size_t size() const noexcept { return this->last_use.size(); }

 private:
  absl::flat_hash_map<std::uint64_t, std::uint64_t> last_use;
  std::uint64_t uses{0};
};

}  // namespace zinnia
