// Distinguishes the state that the store was restored with from what has been written since.
#pragma once

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
  /// \brief Records the version of the store in a response.
  /// \param hold_time How long writers may take to write again what a copy lacks.
  /// \return True if it shows for the first time that the store has been restored.
  bool on_store_version(object_version version, duration hold_time, time_point now);
  /// \brief Returns true if the change may come from the copy, and nobody has written the object since.
  [[nodiscard]] bool is_from_copy(object_version version, time_point now) const noexcept {
    return now < this->holds_until && version <= this->copy_version;
  }
  void hold(const std::string& name) { this->held.insert(name); }
  /// \brief Forgets a held change, as the object has changed again.
  void release(const std::string& name) { this->held.erase(name); }
  /// \brief Returns the names of the objects whose changes were held and are due now.
  [[nodiscard]] std::set<std::string> take_due(time_point now);
  [[nodiscard]] time_point next_due() const noexcept {
    return this->held.empty() ? far_future : this->holds_until;
  }

 private:
  object_version newest;
  // The version of the store when it was first seen in this era.
  object_version copy_version;
  time_point holds_until;
  std::set<std::string> held;
};

}  // namespace zinnia
