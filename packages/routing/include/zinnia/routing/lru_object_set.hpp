// Least-recently-used set of the objects that a backend server is assumed to hold or to load.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief   Bounded set of object hashes that evicts the least recently used.
/// \details Mirrors the memory of a backend server, which responds faster for an object that it still holds.
class lru_object_set {
 public:
  /// \brief Adds an object that the server holds, or marks it as used. Evicts one object if there are more
  /// than
  ///        `capacity`.
  void touch(std::uint64_t object, std::size_t capacity);
  /// \brief Adds an object that the server is loading for a request and holds from `loaded_at` on.
  void start_loading(std::uint64_t object, std::size_t capacity, time_point loaded_at);
  void erase(std::uint64_t object) { this->entries.erase(object); }
  /// \brief True if the server holds the object or is loading it.
  [[nodiscard]] bool contains(std::uint64_t object) const { return this->entries.contains(object); }
  [[nodiscard]] bool is_loaded(std::uint64_t object, time_point now) const;
  /// \brief Returns true at most once in `period` for an object of the set; used to limit notices to other
  /// nodes.
  [[nodiscard]] bool claim_notice(std::uint64_t object, duration period, time_point now);
  void clear() { this->entries.clear(); }
  [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

 private:
  struct entry {
    std::uint64_t last_used{0};
    time_point loaded_at;
    time_point noticed_at;
  };

  entry& use(std::uint64_t object, std::size_t capacity);

  absl::flat_hash_map<std::uint64_t, entry> entries;
  std::uint64_t use_count{0};
};

}  // namespace zinnia
