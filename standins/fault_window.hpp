// Tracks when a part of the system was disturbed.
#pragma once

#include <atomic>
#include <chrono>

namespace zinnia::standins {

/// \brief   Tracks the faults in one part of a system: how many are active and when the last one ended.
/// \details Faults may overlap. Thread-safe.
class fault_window {
 public:
  void begin() { ++this->active_faults; }
  void end() {
    this->last_fault_end = std::chrono::steady_clock::now();
    --this->active_faults;
  }
  /// \brief Returns true if no fault was active from `margin` before `from` until now.
  [[nodiscard]] bool was_fault_free_since(std::chrono::steady_clock::time_point from,
                                          std::chrono::milliseconds margin) const {
    return this->active_faults == 0 && this->last_fault_end.load() + margin < from;
  }

 private:
  std::atomic<int> active_faults{0};
  std::atomic<std::chrono::steady_clock::time_point> last_fault_end{std::chrono::steady_clock::time_point{}};
};

}  // namespace zinnia::standins
