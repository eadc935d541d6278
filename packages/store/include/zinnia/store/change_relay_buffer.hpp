// The changes of all kinds, written by the thread that follows the store and read by the one that tells
// others.
#pragma once

#include <absl/synchronization/mutex.h>

#include <optional>
#include <string>
#include <vector>

#include "zinnia/store/change_log.hpp"

namespace zinnia {

/// \brief One `change_log` for each kind, in an order that all nodes share. Any thread.
class change_relay_buffer {
 public:
  explicit change_relay_buffer(std::size_t kinds) : logs(kinds) {}

  void record_changes(std::size_t kind, const std::vector<object_change>& changes,
                      object_version synced_version, time_point now);
  /// \brief Whether this node hears from the store itself, so that others may rely on it.
  void set_watching(bool watching_in);
  [[nodiscard]] bool is_watching() const;
  /// \brief For each kind the version of its newest change.
  [[nodiscard]] std::vector<object_version> latest_change_versions() const;
  /// \brief   What someone lacks who knows each kind up to a version.
  /// \returns Nothing if the number of kinds differs.
  [[nodiscard]] std::optional<std::vector<feed_reply>> changes_since(
      const std::vector<object_version>& known) const;

 private:
  mutable absl::Mutex mutex;
  std::vector<change_log> logs ABSL_GUARDED_BY(mutex);
  bool watching ABSL_GUARDED_BY(mutex){false};
};

}  // namespace zinnia
