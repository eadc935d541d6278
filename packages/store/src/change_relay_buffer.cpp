// Access to the change logs under a mutex.
#include "zinnia/store/change_relay_buffer.hpp"

#include <algorithm>
#include <utility>

namespace zinnia {

void change_relay_buffer::record_changes(std::size_t kind, const std::vector<object_change>& changes,
                                         object_version synced_version, time_point now) {
  const absl::MutexLock lock{&this->mutex};
  this->logs.at(kind).record_changes(changes, synced_version, now);
}

void change_relay_buffer::set_watching(bool watching_in) {
  const absl::MutexLock lock{&this->mutex};
  this->watching = watching_in;
}

bool change_relay_buffer::is_watching() const {
  const absl::MutexLock lock{&this->mutex};
  return this->watching;
}

std::vector<object_version> change_relay_buffer::latest_change_versions() const {
  const absl::MutexLock lock{&this->mutex};
  std::vector<object_version> versions;
  for (const auto& log : this->logs) {
    versions.push_back(log.latest_change_version());
  }
  return versions;
}

std::optional<std::vector<feed_reply>> change_relay_buffer::changes_since(
    const std::vector<object_version>& known) const {
  const absl::MutexLock lock{&this->mutex};
  return this->missing_changes(known);
}

void change_relay_buffer::set_confirmation(const std::optional<confirmed_configuration>& confirmation_in) {
  const absl::MutexLock lock{&this->mutex};
  this->confirmation = confirmation_in;
}

std::optional<relay_answer> change_relay_buffer::answer_to(const std::vector<object_version>& known,
                                                           time_point now) const {
  const absl::MutexLock lock{&this->mutex};
  auto changes = this->missing_changes(known);
  if (!changes) {
    return std::nullopt;
  }
  relay_answer answer{std::move(*changes), std::nullopt};
  if (this->confirmation) {
    answer.confirmation = {this->confirmation->version,
                           std::max(now - this->confirmation->query_time, duration{0})};
  }
  return answer;
}

std::optional<std::vector<feed_reply>> change_relay_buffer::missing_changes(
    const std::vector<object_version>& known) const {
  if (known.size() != this->logs.size()) {
    return std::nullopt;
  }
  std::vector<feed_reply> replies;
  for (std::size_t i = 0; i < known.size(); ++i) {
    replies.push_back(this->logs[i].changes_since(known[i]));
  }
  return replies;
}

void change_relay_buffer::set_state(std::shared_ptr<const retained_state> state_in) {
  const absl::MutexLock lock{&this->mutex};
  this->published_state = std::move(state_in);
}

std::shared_ptr<const retained_state> change_relay_buffer::state() const {
  const absl::MutexLock lock{&this->mutex};
  return this->published_state;
}

}  // namespace zinnia
