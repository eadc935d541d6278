// Tags in virtual time.
#include "zinnia/routing/fair_order.hpp"

#include <algorithm>

namespace zinnia {

double fair_order::virtual_time(const request_priority& priority) const {
  const auto found = this->virtual_times.find(priority);
  return found == this->virtual_times.end() ? 0 : found->second;
}

double fair_order::next_tag(const request_priority& priority, const fair_share& share) const {
  const auto found = this->finish_tags.find({priority, share.account});
  const double now = this->virtual_time(priority);
  return found == this->finish_tags.end() ? now : std::max(now, found->second);
}

double fair_order::add(const request_priority& priority, const fair_share& share) {
  const double tag = this->next_tag(priority, share);
  this->finish_tags[{priority, share.account}] = tag + 1 / share.weight;
  return tag;
}

void fair_order::serve(const request_priority& priority, double tag) {
  auto& now = this->virtual_times[priority];
  now = std::max(now, tag);
  // An account whose last request would have finished has no claim left.
  std::erase_if(this->finish_tags,
                [&](const auto& each) { return each.first.first == priority && each.second <= now; });
}

void fair_order::withdraw(const request_priority& priority, const fair_share& share) {
  const auto found = this->finish_tags.find({priority, share.account});
  if (found != this->finish_tags.end()) {
    found->second -= 1 / share.weight;
  }
}

void fair_order::clear() noexcept {
  this->virtual_times.clear();
  this->finish_tags.clear();
}

}  // namespace zinnia
