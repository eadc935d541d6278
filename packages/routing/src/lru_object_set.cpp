// Least-recently-used eviction by a scan, as the set is small.
#include "zinnia/routing/lru_object_set.hpp"

#include <algorithm>

namespace zinnia {

void lru_object_set::touch(std::uint64_t object, std::size_t most) {
  this->last_use[object] = ++this->uses;
  if (this->last_use.size() <= most) {
    return;
  }
  const auto oldest = std::min_element(this->last_use.begin(), this->last_use.end(),
                                       [](const auto& a, const auto& b) { return a.second < b.second; });
  this->last_use.erase(oldest);
}

}  // namespace zinnia
