// What this node tells others of the store: recent changes of all object kinds, and what the store may lack.
// The thread that watches the store writes it; the server that answers peers reads it.
#pragma once

#include <absl/synchronization/mutex.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "zinnia/store/change_log.hpp"
#include "zinnia/store/change_relay_codec.hpp"
#include "zinnia/store/retained_state.hpp"

namespace zinnia {

/// \brief The proof of a node that its configuration was the newest one, as it tells it to others.
struct confirmed_configuration {
  config_version version;
  /// When the query was sent that the proof is based on.
  time_point query_time;

  friend bool operator==(const confirmed_configuration&, const confirmed_configuration&) = default;
};

/// \brief What a node answers to a peer that asks for changes.
struct relay_answer {
  /// One reply for each kind.
  std::vector<feed_reply> kinds;
  std::optional<relayed_confirmation> confirmation;
};

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
  /// \brief Sets the proof that peers are told of. Set it after the changes are recorded that it covers.
  void set_confirmation(const std::optional<confirmed_configuration>& confirmation_in);
  /// \brief   Returns the changes that a peer is missing, with the proof that this node has for them.
  /// \details Both are read at once, so a proof never covers a change that the answer lacks.
  /// \param   known The version up to which the peer knows each kind.
  /// \returns `nullopt` if the number of kinds differs.
  [[nodiscard]] std::optional<relay_answer> answer_to(const std::vector<object_version>& known,
                                                      time_point now) const;
  /// \brief Publishes the state that other nodes may ask for; null while this node isn't ready.
  void set_state(std::shared_ptr<const retained_state> state_in);
  [[nodiscard]] std::shared_ptr<const retained_state> state() const;

 private:
  [[nodiscard]] std::optional<std::vector<feed_reply>> missing_changes(
      const std::vector<object_version>& known) const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

  mutable absl::Mutex mutex;
  std::vector<change_log> logs ABSL_GUARDED_BY(mutex);
  // Invariant: `logs` contain all changes that the confirmed configuration depends on.
  std::optional<confirmed_configuration> confirmation ABSL_GUARDED_BY(mutex);
  bool watching ABSL_GUARDED_BY(mutex){false};
  std::shared_ptr<const retained_state> published_state ABSL_GUARDED_BY(mutex);
};

}  // namespace zinnia
