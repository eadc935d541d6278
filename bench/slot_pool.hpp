// The slots of all servers of a service as one ideal queue.
#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <set>

#include "event_queue.hpp"

namespace zinnia::bench {

/// \brief Slots that any request may use, first come first served.
class slot_pool {
 public:
  explicit slot_pool(std::size_t slots) {
    for (std::size_t i = 0; i < slots; ++i) {
      this->free_at.insert(0);
    }
  }

  /// \brief  Reserves the slot that is free first.
  /// \return When the work ends; empty if that is after the deadline, and then no slot is reserved.
  [[nodiscard]] std::optional<sim_time> reserve(sim_time now, sim_time work, sim_time deadline) {
    if (this->free_at.empty()) {
      return std::nullopt;
    }
    const auto finish = std::max(*this->free_at.begin(), now) + work;
    if (finish > deadline) {
      return std::nullopt;
    }
    this->free_at.erase(this->free_at.begin());
    this->free_at.insert(finish);
    return finish;
  }

 private:
  // The time at which each slot becomes free.
  std::multiset<sim_time> free_at;
};

}  // namespace zinnia::bench
