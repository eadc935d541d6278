// Least-recently-used eviction by a linear scan; the set is small.
#include "zinnia/routing/lru_object_set.hpp"

#include <algorithm>

namespace zinnia {

void lru_object_set::touch(std::uint64_t object, std::size_t capacity) {
  this->last_used[object] = ++this->use_count;
  if (this->last_used.size() <= capacity) {
    return;
  }
  const auto oldest = std::min_element(this->last_used.begin(), this->last_used.end(),
                                       [](const auto& a, const auto& b) { return a.second < b.second; });
  this->last_used.erase(oldest);
}

}  // namespace zinnia
