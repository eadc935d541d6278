// A mutex around the logs.
#include "zinnia/store/change_board.hpp"

namespace zinnia {

void change_board::advance(std::size_t kind, const std::vector<object_change>& changes,
                           object_version known_up_to, time_point now) {
  const absl::MutexLock lock{&this->mutex};
  this->logs.at(kind).advance(changes, known_up_to, now);
}

void change_board::set_watching(bool watching_in) {
  const absl::MutexLock lock{&this->mutex};
  this->watching = watching_in;
}

bool change_board::is_watching() const {
  const absl::MutexLock lock{&this->mutex};
  return this->watching;
}

std::vector<object_version> change_board::last_changes() const {
  const absl::MutexLock lock{&this->mutex};
  std::vector<object_version> versions;
  for (const auto& log : this->logs) {
    versions.push_back(log.last_change());
  }
  return versions;
}

std::optional<std::vector<feed_reply>> change_board::since(const std::vector<object_version>& known) const {
  const absl::MutexLock lock{&this->mutex};
  if (known.size() != this->logs.size()) {
    return std::nullopt;
  }
  std::vector<feed_reply> replies;
  for (std::size_t i = 0; i < known.size(); ++i) {
    replies.push_back(this->logs[i].since(known[i]));
  }
  return replies;
}

}  // namespace zinnia
