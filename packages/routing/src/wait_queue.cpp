// Ordered insertion and removal of waiting requests.
#include "zinnia/routing/wait_queue.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace zinnia {

void wait_queue::push(entry waiting) {
  if (waiting.share) {
    waiting.start_tag = this->order.add(waiting.priority, *waiting.share);
  }
  const auto position = std::upper_bound(
      this->entries.begin(), this->entries.end(), waiting, [](const entry& a, const entry& b) {
        return std::tie(a.priority, a.start_tag, a.arrived) < std::tie(b.priority, b.start_tag, b.arrived);
      });
  this->entries.insert(position, waiting);
}

void wait_queue::withdraw(std::vector<entry>::iterator waiting) {
  if (waiting->share) {
    this->order.withdraw(waiting->priority, *waiting->share);
  }
  this->entries.erase(waiting);
  if (this->entries.empty()) {
    this->order.clear();
  }
}

void wait_queue::remove(wait_ticket ticket) {
  const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                  [ticket](const entry& waiting) { return waiting.ticket == ticket; });
  if (found != this->entries.end()) {
    this->withdraw(found);
  }
}

std::optional<wait_queue::entry> wait_queue::pop() {
  if (this->entries.empty()) {
    return std::nullopt;
  }
  const auto first = this->entries.front();
  this->entries.erase(this->entries.begin());
  if (this->entries.empty()) {
    this->order.clear();
  } else if (first.share) {
    this->order.serve(first.priority, first.start_tag);
  }
  return first;
}

std::optional<wait_queue::entry> wait_queue::pop_for_reselection(time_point now) {
  const auto found = std::find_if(this->entries.begin(), this->entries.end(),
                                  [now](const entry& waiting) { return waiting.reselect_at < now; });
  if (found == this->entries.end()) {
    return std::nullopt;
  }
  const auto due = *found;
  this->withdraw(found);
  return due;
}

int wait_queue::count_ahead(const request_priority& priority, const std::optional<fair_share>& share) const {
  const double tag = share ? this->order.next_tag(priority, *share) : 0;
  return static_cast<int>(
      std::count_if(this->entries.begin(), this->entries.end(), [&](const entry& waiting) {
        return std::tie(waiting.priority, waiting.start_tag) <= std::tie(priority, tag);
      }));
}

}  // namespace zinnia
