// A copy of all objects of one kind, kept up by a list and then watches.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/units.hpp"

namespace zinnia {

/// \brief An object as the store holds it.
struct stored_object {
  std::string name;
  object_version version;
  /// The document written by the object's owner, as text; empty if there is none.
  std::string document;
  /// Marked for removal.
  bool deleting{false};
};

/// \brief The next call that a feed wants to be made.
struct feed_call {
  enum class type : unsigned char { list, watch };
  type what{type::list};
  /// For a list: the last name of the page before.
  std::string after;
  /// For a watch: the version from which changes are wanted, and how long to wait for one.
  object_version since;
  duration wait{0};
};

/// \brief How a feed's call ended.
enum class feed_status : unsigned char {
  ok,
  /// The store no longer has the changes from that version on.
  history_gone,
  /// Refused, cut off or unanswered; nothing is known.
  failed,
};

/// \brief A change that a watch brought.
struct object_change {
  stored_object object;
  bool deleted{false};
};

/// \brief The decoded answer to a feed's call.
struct feed_reply {
  feed_status status{feed_status::failed};
  /// For a list.
  std::vector<stored_object> items;
  bool has_more{false};
  /// For a watch.
  std::vector<object_change> changes;
  /// The store's version when it answered.
  object_version newest;
};

/// \brief Waits of a feed.
struct feed_timing {
  /// How long the store may hold a watch with no change.
  duration watch_wait{20'000};
  /// Pause after a failed call; doubles with each further one.
  duration first_pause{100};
  duration longest_pause{1600};
  /// Pause after a watch that brought changes, so that a burst of changes takes few calls.
  duration settle_pause{0};
};

/// \brief   Decides which call to make next and applies its answer. No I/O; not thread safe.
///
/// \details An object never goes back to an older version, whatever a late answer says. Objects disappear
/// only
///          by a change that says so, or when a complete list taken later lacks them.
class object_feed {
 public:
  /// \param seed Spreads the pauses of different nodes.
  object_feed(feed_timing timing_in, std::uint64_t seed);

  /// \brief The call to make now, or nothing while one is under way or a pause lasts.
  [[nodiscard]] std::optional<feed_call> next(time_point now);
  /// \brief When `next` should be asked again; `far_future` while a call is under way.
  [[nodiscard]] time_point next_at() const noexcept;
  void on_reply(const feed_reply& reply, time_point now);
  /// \brief   Takes over what another node knows of this kind.
  /// \returns Whether it could be used: a list must have been taken before, as news only tell what changed.
  bool take_news(const feed_reply& news);
  /// \brief Forgets the call under way, so that it is made anew at once.
  void restart() noexcept;

  /// \brief Changes since the last call of this function; a deleted object has the version of its removal.
  [[nodiscard]] std::vector<object_change> take_changes();
  [[nodiscard]] const std::map<std::string, stored_object>& objects() const noexcept { return this->known; }
  /// \brief Whether a complete list has been taken.
  [[nodiscard]] bool is_complete() const noexcept { return this->complete; }
  /// \brief Whether a list is wanted or under way, so that changes may be incomplete.
  [[nodiscard]] bool is_listing() const noexcept { return this->listing; }
  /// \brief The store's version up to which all changes of this kind are known.
  [[nodiscard]] object_version known_up_to() const noexcept { return this->watch_from; }
  /// \brief When the store last answered.
  [[nodiscard]] time_point last_answer() const noexcept { return this->answered_at; }
  /// \brief Whether the last call failed.
  [[nodiscard]] bool is_failing() const noexcept { return this->failures_in_a_row > 0; }

 private:
  void apply(const feed_reply& watched);
  void take(const stored_object& object);
  void drop(const std::string& name, object_version at);
  void finish_list();
  void fail(time_point now);

  feed_timing timing;
  std::uint64_t random_state;
  std::map<std::string, stored_object> known;
  std::vector<object_change> changes;
  // Names seen by the list under way.
  std::map<std::string, object_version> listed;
  std::string list_after;
  // The store's version at the start of the list under way, then the version to watch from.
  std::optional<object_version> list_version;
  object_version watch_from;
  bool complete{false};
  bool listing{true};
  bool under_way{false};
  int failures_in_a_row{0};
  time_point not_before;
  time_point asked_at;
  time_point answered_at;
};

}  // namespace zinnia
