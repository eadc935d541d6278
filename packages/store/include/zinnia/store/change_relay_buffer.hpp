// What this node tells others of the store: recent changes of all object kinds, and what the store may lack.
// The thread that watches the store writes it; the server that answers peers reads it.
#pragma once

#include <absl/synchronization/mutex.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinnia/store/change_log.hpp"
#include "zinnia/store/retained_state.hpp"

namespace zinnia {

/// \brief One `change_log` for each kind, in an order that all nodes share. Thread-safe.
class change_relay_buffer {
 public:
  explicit change_relay_buffer(std::size_t kinds) : logs(kinds) {}

  /// \brief Records changes of one kind; see `change_log::record_changes`.
  void record_changes(std::size_t kind, const std::vector<object_change>& changes,
                      object_version synced_version, time_point now);
  /// \brief Sets whether this node watches the store itself, so that peers may rely on its changes.
  void set_watching(bool watching_in);
  [[nodiscard]] bool is_watching() const;
  /// \brief Returns the version of the latest change of each kind; 0 for a kind without changes.
  [[nodiscard]] std::vector<object_version> latest_change_versions() const;
  /// \brief   Returns the changes that a peer is missing.
  /// \param   known The version up to which the peer knows each kind.
  /// \returns One reply for each kind, or `nullopt` if the number of kinds differs.
  [[nodiscard]] std::optional<std::vector<feed_reply>> changes_since(
      const std::vector<object_version>& known) const;
  /// \brief Publishes the state that other nodes may ask for; null while this node isn't ready.
  void set_state(std::shared_ptr<const retained_state> state_in);
  [[nodiscard]] std::shared_ptr<const retained_state> state() const;

 private:
  mutable absl::Mutex mutex;
  std::vector<change_log> logs ABSL_GUARDED_BY(mutex);
  bool watching ABSL_GUARDED_BY(mutex){false};
  std::shared_ptr<const retained_state> published_state ABSL_GUARDED_BY(mutex);
};

}  // namespace zinnia
