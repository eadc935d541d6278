// A local copy of all objects of one kind, built from a list and kept up to date by watches.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/units.hpp"

namespace zinnia {

/// \brief An object of the store.
struct stored_object {
  std::string name;
  object_version version;
  /// The JSON text written by the object's owner; empty if there is none.
  std::string document;
  /// Marked for removal, but not removed yet.
  bool deleting{false};
};

/// \brief A call to the store that a feed asks its owner to make.
struct feed_call {
  enum class type : unsigned char { list, watch };
  type call_type{type::list};
  /// For a list: the last name on the previous page; empty for the first page.
  std::string after_name;
  /// For a watch: the store returns changes after this version.
  object_version since_version;
  /// For a watch: how long the store may wait for a change, in ms.
  duration max_wait{0};
};

/// \brief The result of a feed's call.
enum class feed_status : unsigned char {
  ok,
  /// The store no longer has the changes after the requested version; a new list is needed.
  history_gone,
  /// The call was refused, was cut off or got no response.
  failed,
  /// The response was too long. The changes can be had as a list, which has pages.
  too_long,
};

/// \brief A change of an object.
struct object_change {
  stored_object object;
  bool deleted{false};
  /// The object that this one replaces, if that is of an earlier era of the store.
  std::optional<stored_object> replaced{};
};

/// \brief The decoded response to a feed's call.
struct feed_reply {
  feed_status status{feed_status::failed};
  /// For a list: the objects on the page.
  std::vector<stored_object> items;
  bool has_more{false};
  /// For a watch: the changes; also set when a peer relays changes.
  std::vector<object_change> changes;
  /// The version of the whole store when it responded.
  object_version store_version;
};

/// \brief Wait times of a feed, in ms.
struct feed_timing {
  /// How long the store may hold a watch open while there are no changes.
  duration watch_timeout{20'000};
  /// Pause after the first failed call; doubles with each consecutive failure up to `max_backoff`.
  duration initial_backoff{100};
  duration max_backoff{1600};
  /// Pause after a watch that returned changes, so that a burst of changes needs few calls.
  duration batch_delay{0};
};

/// \brief   Decides which call to make next and applies the responses. No I/O; not thread-safe.
///
/// \details An object never returns to an older version, whatever a delayed response contains. An object is
///          removed only by a change that says so, or when a complete list taken later does not contain it.
class object_feed {
 public:
  /// \param seed Randomizes the backoff, so that nodes do not retry at the same time.
  object_feed(feed_timing timing_in, std::uint64_t seed);

  /// \brief Returns the call to make now; `nullopt` while a call is in flight or during a pause.
  [[nodiscard]] std::optional<feed_call> next_call(time_point now);
  /// \brief Returns when to call `next_call` again; `far_future` while a call is in flight.
  [[nodiscard]] time_point next_call_at() const noexcept;
  /// \brief Applies the response to the call in flight.
  void on_reply(const feed_reply& reply, time_point now);
  /// \brief   Applies changes of this kind that a peer relayed.
  /// \returns False if they were not applied: they only say what changed, so this feed must hold exactly what
  ///          the store held at one version.
  bool apply_relayed_changes(const feed_reply& relayed);
  /// \brief Abandons the call in flight and skips any pause, so that the call is repeated at once.
  void abandon_call() noexcept;

  /// \brief Reads all objects anew; the call in flight counts as abandoned.
  void restart_list() noexcept;
  /// \brief Returns and clears the changes since the previous call of this function. A deleted object has the
  ///        version of its removal.
  [[nodiscard]] std::vector<object_change> take_changes();
  [[nodiscard]] const std::map<std::string, stored_object>& objects() const noexcept {
    return this->cached_objects;
  }
  /// \brief Returns true once a complete list has been received.
  [[nodiscard]] bool is_complete() const noexcept { return this->complete; }
  /// \brief Returns true while a list is needed or in progress; the changes may be incomplete until it ends.
  [[nodiscard]] bool is_listing() const noexcept { return this->listing; }
  /// \brief Returns the store version up to which all changes of this kind are known.
  [[nodiscard]] object_version synced_version() const noexcept { return this->watch_version; }
  /// \brief Returns when the store last sent a usable response.
  [[nodiscard]] time_point last_response_at() const noexcept { return this->responded_at; }
  /// \brief   Returns a time at which the store held what this feed holds, or something older.
  /// \details It is the time at which the last successful call was made. Relayed changes do not count.
  ///          `nullopt` until a list is complete, and while the objects are listed again.
  [[nodiscard]] std::optional<time_point> confirmed_at() const noexcept {
    return this->complete && !this->listing ? this->confirmed_call_at : std::nullopt;
  }
  /// \brief Returns true if the last call failed.
  [[nodiscard]] bool is_failing() const noexcept { return this->consecutive_failures > 0; }

 private:
  void apply_changes(const feed_reply& reply);
  void update_object(const stored_object& object);
  void remove_object(const std::string& name, object_version removal_version);
  void begin_list() noexcept;
  void finish_list();
  void schedule_retry(time_point now);

  feed_timing timing;
  std::uint64_t random_state;
  std::map<std::string, stored_object> cached_objects;
  std::vector<object_change> changes;
  // The objects received by the list in progress, with their versions.
  std::map<std::string, object_version> listed_versions;
  std::string last_listed_name;
  // The store version of the first page of the list in progress. The next watch starts there, so that changes
  // made while the pages are read are not missed.
  std::optional<object_version> list_version;
  // The version to watch from; never decreases.
  object_version watch_version;
  bool complete{false};
  // The last list may hold objects that are newer than `watch_version`, as they were on a later page.
  bool holds_newer_objects{false};
  bool listing{true};
  bool call_in_flight{false};
  int consecutive_failures{0};
  time_point earliest_call_at;
  time_point called_at;
  // When the first page of the list in progress was asked for. The later pages say nothing of earlier names.
  time_point list_called_at;
  // See `confirmed_at()`. Empty until a list is complete.
  std::optional<time_point> confirmed_call_at;
  time_point responded_at;
};

}  // namespace zinnia
