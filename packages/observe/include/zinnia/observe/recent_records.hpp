// The records of the requests that a node finished most recently, found by request id.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>

namespace zinnia {

/// \brief   A bounded set of records that removes the oldest record first. Not thread-safe.
/// \details Invariants: every id in `by_id` is in `order` exactly once; `bytes` is the size of all ids, each
///          counted twice, and records.
class recent_records {
 public:
  /// \brief Records have this much room on average. Fewer are kept if they are larger, as with long ids.
  static constexpr std::size_t bytes_per_record = 4 << 10;

  explicit recent_records(std::size_t max_records_in) : max_records{max_records_in} {}

  /// \brief Adds a record. A record with the same id is replaced and keeps its age. Does nothing if the id is
  ///        empty.
  void add(const std::string& id, std::string record);
  [[nodiscard]] std::optional<std::string> find(const std::string& id) const;
  [[nodiscard]] std::size_t size() const noexcept { return this->by_id.size(); }
  /// \brief The size of all ids and records.
  [[nodiscard]] std::size_t size_in_bytes() const noexcept { return this->bytes; }

 private:
  void remove_oldest();

  std::size_t max_records;
  std::size_t bytes{0};
  absl::flat_hash_map<std::string, std::string> by_id;
  std::deque<std::string> order;
};

}  // namespace zinnia
