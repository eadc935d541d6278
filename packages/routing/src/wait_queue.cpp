// Ordered insertion and removal of waiting requests.
#include "zinnia/routing/wait_queue.hpp"

#include <algorithm>
#include <utility>

namespace zinnia {

void wait_queue::push(const entry& waiting) {
  const auto position = std::upper_bound(
      this->entries.begin(), this->entries.end(), waiting, [](const entry& a, const entry& b) {
        return std::pair{a.priority, a.arrived} < std::pair{b.priority, b.arrived};
      });
  this->entries.insert(position, waiting);
}

void wait_queue::remove(wait_ticket ticket) {
  const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                  [ticket](const entry& waiting) { return waiting.ticket == ticket; });
  if (found != this->entries.end()) {
    this->entries.erase(found);
  }
}

std::optional<wait_queue::entry> wait_queue::pop() {
  if (this->entries.empty()) {
    return std::nullopt;
  }
  const auto first = this->entries.front();
  this->entries.erase(this->entries.begin());
  return first;
}

std::optional<wait_queue::entry> wait_queue::pop_for_reselection(time_point now) {
  const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                  [now](const entry& waiting) { return waiting.reselect_at < now; });
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  const auto due = *found;
  this->entries.erase(found);
  return due;
}

int wait_queue::count_ahead(const request_priority& priority) const noexcept {
  return static_cast<int>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [&priority](const entry& waiting) { return waiting.priority <= priority; }));
}

}  // namespace zinnia
