// Evicts the oldest record when the set is full.
#include "zinnia/observe/recent_records.hpp"

namespace zinnia {

void recent_records::add(const std::string& id, std::string record) {
  if (this->max_records == 0 || id.empty()) {
    return;
  }
  if (this->by_id.insert_or_assign(id, std::move(record)).second) {
    this->order.push_back(id);
  }
  if (this->order.size() > this->max_records) {
    this->by_id.erase(this->order.front());
    this->order.pop_front();
  }
}

std::optional<std::string> recent_records::find(const std::string& id) const {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? std::nullopt : std::optional<std::string>{found->second};
}

}  // namespace zinnia
