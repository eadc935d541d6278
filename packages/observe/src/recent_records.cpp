// Evicts the oldest record when the set is full.
#include "zinnia/observe/recent_records.hpp"

namespace zinnia {

void recent_records::add(const std::string& id, std::string record) {
  if (this->max_records == 0 || id.empty()) {
    return;
  }
  auto& kept = this->by_id[id];
  if (kept.empty()) {
    this->order.push_back(id);
    this->bytes += 2 * id.size();
  }
  this->bytes += record.size() - kept.size();
  kept = std::move(record);
  while (this->order.size() > this->max_records || this->bytes > this->max_records * bytes_per_record) {
    this->remove_oldest();
  }
}

void recent_records::remove_oldest() {
  const auto oldest = this->by_id.find(this->order.front());
  this->bytes -= 2 * oldest->first.size() + oldest->second.size();
  this->by_id.erase(oldest);
  this->order.pop_front();
}

std::optional<std::string> recent_records::find(const std::string& id) const {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? std::nullopt : std::optional<std::string>{found->second};
}

}  // namespace zinnia
