// Least-recently-used eviction by a linear scan; the set is small.
#include "zinnia/routing/lru_object_set.hpp"

#include <algorithm>

namespace zinnia {

void lru_object_set::touch(std::uint64_t object, std::size_t capacity) {
  this->use(object, capacity).loaded_at = {};
}

void lru_object_set::start_loading(std::uint64_t object, std::size_t capacity, time_point loaded_at) {
  const bool is_new = !this->contains(object);
  auto& used = this->use(object, capacity);
  used.loaded_at = is_new ? loaded_at : std::min(used.loaded_at, loaded_at);
}

bool lru_object_set::is_loaded(std::uint64_t object, time_point now) const {
  const auto found = this->entries.find(object);
  return found != this->entries.end() && found->second.loaded_at <= now;
}

bool lru_object_set::claim_notice(std::uint64_t object, duration period, time_point now) {
  const auto found = this->entries.find(object);
  if (found == this->entries.end() ||
      (found->second.noticed_at > time_point{} && now - found->second.noticed_at < period)) {
    return false;
  }
  found->second.noticed_at = now;
  return true;
}

lru_object_set::entry& lru_object_set::use(std::uint64_t object, std::size_t capacity) {
  this->entries[object].last_used = ++this->use_count;
  if (this->entries.size() > std::max<std::size_t>(capacity, 1)) {
    const auto oldest = std::min_element(
        this->entries.begin(), this->entries.end(),
        [](const auto& a, const auto& b) { return a.second.last_used < b.second.last_used; });
    this->entries.erase(oldest);
  }
  return this->entries[object];
}

}  // namespace zinnia
