// Least-recently-used set of the objects that a backend server is assumed to hold.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

namespace zinnia {

/// \brief   Bounded set of object hashes that evicts the least recently used.
/// \details Mirrors the memory of a backend server, which responds faster for an object that it still holds.
class lru_object_set {
 public:
  /// \brief Adds an object or marks it as used. Evicts one object if there are more than `capacity`.
  void touch(std::uint64_t object, std::size_t capacity);
  [[nodiscard]] bool contains(std::uint64_t object) const { return this->last_used.contains(object); }
  void clear() { this->last_used.clear(); }
  [[nodiscard]] std::size_t size() const noexcept { return this->last_used.size(); }

 private:
  absl::flat_hash_map<std::uint64_t, std::uint64_t> last_used;
  std::uint64_t use_count{0};
};

}  // namespace zinnia
