// Queue of requests that wait at this node for capacity at one backend server.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/routing/fair_order.hpp"
#include "zinnia/routing/request_priority.hpp"

namespace zinnia {

/// \brief Identifies a waiting request.
using wait_ticket = std::uint64_t;

/// \brief   Queue of waiting requests ordered by priority, then by the fair order of their accounts if they
/// have
///          any, then by arrival.
/// \details Absorbs short bursts that exceed the slots of a backend server. Arrival order keeps waiting times
///          even within a priority. A request that waits longer than expected gets a new placement decision.
class wait_queue {
 public:
  struct entry {
    wait_ticket ticket{0};
    request_priority priority;
    /// Arrival time of the request at this node.
    time_point arrived;
    /// Time after which the request has waited longer than expected and needs a new placement decision.
    time_point reselect_at;
    /// Empty if no accounts are configured.
    std::optional<fair_share> share{};
    /// Set by `push`.
    double start_tag{0};
  };

  void push(entry waiting);
  void remove(wait_ticket ticket);
  /// \brief Removes and returns the entry to send next; empty if there is none.
  [[nodiscard]] std::optional<entry> pop();
  /// \brief Removes and returns one entry whose `reselect_at` has passed; empty if there is none.
  [[nodiscard]] std::optional<entry> pop_for_reselection(time_point now);
  /// \brief Returns the number of entries that would be sent before a new one.
  [[nodiscard]] int count_ahead(const request_priority& priority,
                                const std::optional<fair_share>& share = std::nullopt) const;
  [[nodiscard]] bool empty() const noexcept { return this->entries.empty(); }
  [[nodiscard]] std::size_t size() const noexcept { return this->entries.size(); }

 private:
  /// Removes an entry that is not sent.
  void withdraw(std::vector<entry>::iterator waiting);

  // Sorted by priority, then by start tag, then by arrival.
  std::vector<entry> entries;
  fair_order order;
};

}  // namespace zinnia
