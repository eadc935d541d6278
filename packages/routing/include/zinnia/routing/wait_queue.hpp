// Requests that wait at this node for room at one backend server.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief Names a request that waits.
using wait_ticket = std::uint64_t;

/// \brief   Orders waiting requests: urgent ones first, then by arrival.
/// \details Load answered: more requests than a backend server has slots for a moment. Order of arrival keeps
///          the wait of each kind even; a request that has waited longer than was expected chooses anew.
class wait_queue {
 public:
  struct entry {
    wait_ticket ticket{0};
    /// 0 is the most urgent.
    int priority{0};
    /// When the request came to this node.
    time_point arrived;
    /// When its place should be chosen anew, as it has waited longer than was expected.
    time_point reselect_at;
  };

  void push(const entry& waiting);
  void remove(wait_ticket ticket);
  /// \brief Removes and returns the entry to send next, or nothing.
  [[nodiscard]] std::optional<entry> pop();
  /// \brief Removes and returns one entry whose review is due, or nothing.
  [[nodiscard]] std::optional<entry> pop_for_reselection(time_point now);
  /// \brief Entries that would be sent before a new one of this priority.
  [[nodiscard]] int count_ahead(int priority) const noexcept;
  [[nodiscard]] bool empty() const noexcept { return this->entries.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

 private:
  // Sorted by priority, then by arrival.
  std::vector<entry> entries;
};

}  // namespace zinnia
