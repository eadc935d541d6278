// Remembers what has changed since the copy.
#include "standins/external_writer.hpp"

namespace zinnia::standins {

void external_writer::put(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
  this->change({kind, name}, spec);
}

void external_writer::erase(const std::string& kind, const std::string& name) {
  this->change({kind, name}, std::nullopt);
}

void external_writer::change(const object_key& key, const object_spec& spec) {
  const absl::MutexLock lock{&this->mutex};
  this->changed_since_copy[key] = spec;
  this->due.erase(key);
  if (!this->is_away) {
    this->write(key, spec);
  }
}

void external_writer::write(const object_key& key, const object_spec& spec) {
  if (spec) {
    this->store.put(key.first, key.second, *spec);
  } else {
    this->store.erase(key.first, key.second);
  }
}

void external_writer::take_copy() {
  const absl::MutexLock lock{&this->mutex};
  this->changed_since_copy.clear();
  this->store.take_copy();
}

void external_writer::go_away() {
  const absl::MutexLock lock{&this->mutex};
  this->is_away = true;
  constexpr int status_service_unavailable = 503;
  this->store.set_faults({.error_status = status_service_unavailable});
}

void external_writer::restore(const std::function<std::chrono::milliseconds()>& next_delay) {
  const absl::MutexLock lock{&this->mutex};
  const auto now = std::chrono::steady_clock::now();
  for (const auto& [key, spec] : this->changed_since_copy) {
    this->due[key] = now + next_delay();
  }
  this->store.restore_copy();
  this->store.set_faults({});
  this->is_away = false;
}

bool external_writer::write_due() {
  const absl::MutexLock lock{&this->mutex};
  const auto now = std::chrono::steady_clock::now();
  for (auto entry = this->due.begin(); entry != this->due.end();) {
    if (now < entry->second) {
      ++entry;
      continue;
    }
    this->write(entry->first, this->changed_since_copy.at(entry->first));
    entry = this->due.erase(entry);
  }
  return this->due.empty();
}

}  // namespace zinnia::standins
