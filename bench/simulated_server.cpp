// Admission, queue and memory of a simulated backend server.
#include "simulated_server.hpp"

#include <algorithm>

namespace zinnia::bench {

admission simulated_server::admit(const std::shared_ptr<simulated_request>& arrived) {
  if (this->running_count < this->limits.slots) {
    return admission::run;
  }
  if (this->waiting() < this->limits.queue) {
    this->queue.push_back(arrived);
    return admission::wait;
  }
  return admission::shed;
}

bool simulated_server::begin_work(std::uint64_t object) {
  ++this->running_count;
  const bool was_remembered = this->warm_objects.contains(object);
  this->warm_objects.touch(object, static_cast<std::size_t>(std::max(this->limits.remembered, 1)));
  return was_remembered;
}

std::shared_ptr<simulated_request> simulated_server::take_waiting() {
  if (this->queue.empty() || this->running_count >= this->limits.slots) {
    return nullptr;
  }
  auto next = std::move(this->queue.front());
  this->queue.pop_front();
  return next;
}

void simulated_server::set_lost(bool is_lost_in) {
  this->lost = is_lost_in;
  this->warm_objects.clear();
}

}  // namespace zinnia::bench
