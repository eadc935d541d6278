// The last finished requests of a node, to be asked for by their id.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace zinnia {

/// \brief   A ring of records; the oldest goes first. Not thread safe.
/// \details Invariant: every id in `by_id` is in `order` exactly once.
class recent_records {
 public:
  explicit recent_records(std::size_t most_in) : most{most_in} {}

  /// \brief Keeps a record; a later one with the same id replaces it.
  void add(const std::string& id, std::string record);
  [[nodiscard]] std::optional<std::string> find(const std::string& id) const;
  [[nodiscard]] std::size_t size() const noexcept { return this->by_id.size(); }

 private:
  std::size_t most;
  absl::flat_hash_map<std::string, std::string> by_id;
  std::deque<std::string> order;
};

}  // namespace zinnia
