// A new era shows in the high bits of a version.
#include "zinnia/store/restore_guard.hpp"

#include <algorithm>
#include <utility>

#include "zinnia/store/store_era.hpp"

namespace zinnia {

bool restore_guard::on_store_version(object_version version, duration hold_time, time_point now) {
  const bool is_first = this->newest.count() == 0;
  const bool is_restored = !is_first && era_of(version) > era_of(this->newest);
  if (is_restored) {
    this->copy_version = version;
    this->holds_until = now + hold_time;
  }
  this->newest = std::max(this->newest, version);
  return is_restored;
}

std::set<std::string> restore_guard::take_due(time_point now) {
  return now < this->holds_until ? std::set<std::string>{} : std::exchange(this->held, {});
}

}  // namespace zinnia
