// A new era shows in the high bits of a version.
#include "zinnia/store/restore_guard.hpp"

#include <algorithm>

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

void restore_guard::on_copy_version(object_version version) {
  if (version.count() == 0 || era_of(version) != era_of(this->newest)) {
    return;
  }
  // The node that heard of the restore first has seen the fewest writes since.
  const bool is_known = era_of(this->copy_version) == era_of(version);
  this->copy_version = is_known ? std::min(this->copy_version, version) : version;
}

void restore_guard::hold(const object_change& in_force, time_point until) {
  this->held[in_force.object.name] = {in_force, until};
}

std::set<std::string> restore_guard::take_due(time_point now) {
  std::set<std::string> due;
  for (auto next = this->held.begin(); next != this->held.end();) {
    if (next->second.until > now) {
      ++next;
      continue;
    }
    due.insert(next->first);
    next = this->held.erase(next);
  }
  return due;
}

time_point restore_guard::next_due() const noexcept {
  auto next = far_future;
  for (const auto& [name, change] : this->held) {
    next = std::min(next, change.until);
  }
  return next;
}

}  // namespace zinnia
