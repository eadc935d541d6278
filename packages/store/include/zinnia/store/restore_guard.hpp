// Distinguishes the state that the store was restored with from what has been written since.
#pragma once

#include <map>
#include <set>
#include <string>

#include "zinnia/core/clock.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief   For one kind of object: the state of the copy and the changes that are held back because of it.
///          No I/O; not thread-safe.
/// \details A copy lacks what was written last. Its writers write that again, which takes some seconds. Until
///          then, what the copy undoes stays in force: such changes are held back for a time, or until the
///          object changes again.
class restore_guard {
 public:
  /// What stays in force in place of the copy's object.
  struct held_change {
    object_change in_force;
    time_point until;
  };

  /// \brief Records the version of the store in a response.
  /// \param hold_time How long the store's objects count as those of the copy.
  /// \return True if it shows for the first time that the store has been restored.
  bool on_store_version(object_version version, duration hold_time, time_point now);
  /// \brief Records what another node knows of the copy that the store was restored from.
  void on_copy_version(object_version version);
  /// \brief Returns true if the change may come from the copy, and nobody has written the object since.
  [[nodiscard]] bool is_from_copy(object_version version, time_point now) const noexcept {
    return now < this->holds_until && version <= this->copy_version;
  }
  /// \brief Holds back what the copy says about an object.
  void hold(const object_change& in_force, time_point until);
  /// \brief Forgets a held change, as the object has changed again.
  void release(const std::string& name) { this->held.erase(name); }
  /// \brief Returns the names of the objects whose changes were held and are due now.
  [[nodiscard]] std::set<std::string> take_due(time_point now);
  [[nodiscard]] time_point next_due() const noexcept;
  /// \brief Returns the held changes by the names of their objects.
  [[nodiscard]] const std::map<std::string, held_change>& held_changes() const noexcept { return this->held; }
  /// \brief Returns the version up to which the store's objects are those of the copy; 0 if unknown.
  [[nodiscard]] object_version copy() const noexcept { return this->copy_version; }
  /// \brief Returns the newest version of the store in any response.
  [[nodiscard]] object_version newest_version() const noexcept { return this->newest; }

 private:
  object_version newest;
  // The version of the store when it was first seen in this era.
  object_version copy_version;
  time_point holds_until;
  std::map<std::string, held_change> held;
};

}  // namespace zinnia
