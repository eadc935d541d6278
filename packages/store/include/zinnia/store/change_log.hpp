// The latest changes of one kind of object, so that another node can be brought up to date.
#pragma once

#include <deque>

#include "zinnia/core/clock.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief   Changes as a feed brought them, with the store's version by which each was known.
/// \details No I/O; not thread safe.
class change_log {
 public:
  /// \brief Notes that the feed knows everything up to a version, and the changes that took it there.
  void record_changes(const std::vector<object_change>& changes, object_version synced_version,
                      time_point now);
  /// \brief   What someone lacks who knows everything up to a version.
  /// \returns `history_gone` if the log does not reach back so far, or nothing is known yet.
  [[nodiscard]] feed_reply changes_since(object_version known) const;
  /// \brief The version of the newest change; 0 if there was none.
  [[nodiscard]] object_version latest_change_version() const noexcept { return this->changed; }

 private:
  struct entry {
    object_change change;
    object_version known_by;
    time_point at;
  };

  // Entries cover (from, known]; their versions do not fall.
  std::deque<entry> entries;
  object_version from;
  object_version known;
  object_version changed;
  bool started{false};
};

}  // namespace zinnia
