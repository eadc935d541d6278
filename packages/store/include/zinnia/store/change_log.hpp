// A bounded log of recent changes of one object kind, from which a peer catches up.
#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief   Changes received by a feed, each with the store version up to which the feed was then in sync.
/// \details No I/O; not thread-safe.
class change_log {
 public:
  /// \brief   Records the changes that brought the feed up to a store version, and removes old entries.
  /// \details The first call only sets the version at which the log begins; its changes are not kept.
  void record_changes(const std::vector<object_change>& changes, object_version synced_version,
                      time_point now);
  /// \brief   Returns the changes that a peer is missing if it knows everything up to `known`.
  /// \returns `history_gone` if the log does not reach back to that version, if it is new, or if the peer
  ///          knew more of an era than this feed: the log lacks the end of what only the peer has seen.
  [[nodiscard]] feed_reply changes_since(object_version known) const;
  /// \brief Returns the version of the latest change; 0 if there was none.
  [[nodiscard]] object_version latest_change_version() const noexcept { return this->latest_version; }

 private:
  struct entry {
    object_change change;
    // The store version up to which the feed was in sync once it had this change, or the change's own version
    // if that is higher.
    object_version synced_version;
    time_point recorded_at;
  };

  // The entries cover the versions in (start_version, end_version].
  std::deque<entry> entries;
  object_version start_version;
  object_version end_version;
  object_version latest_version;
  // Where eras begin: the version in sync before, and the first one in the new era. Ascending.
  std::deque<std::pair<object_version, object_version>> era_changes;
  bool started{false};
};

/// \brief   Marks replies as failed that a peer has got too late.
/// \details A reply tells what has changed since the version that the peer named, and nothing of what the
///          peer has read from the store since.
/// \param   named The version of each kind that the peer named.
/// \param   known The versions that it knows by now.
void reject_late_replies(std::vector<feed_reply>& replies, const std::vector<object_version>& named,
                         const std::vector<object_version>& known);

}  // namespace zinnia
