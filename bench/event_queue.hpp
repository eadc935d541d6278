// Simulated time and the events that are due in it.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

namespace zinnia::bench {

/// \brief Simulated time in microseconds. Milliseconds would round short network delays to 0.
using sim_time = std::int64_t;

inline constexpr double us_per_ms = 1000;
inline constexpr double us_per_s = 1e6;

[[nodiscard]] inline sim_time sim_time_from_ms(double ms) {
  return static_cast<sim_time>(std::llround(ms * us_per_ms));
}

/// \brief   Runs actions in the order of their times.
/// \details Actions of the same time run in the order in which they were scheduled, which keeps a run
///          reproducible.
class event_queue {
 public:
  /// \brief The time of the action that runs, or of the last one.
  [[nodiscard]] sim_time now() const noexcept { return this->current; }

  void schedule(sim_time when, std::function<void()> action) {
    this->events.push_back({when, this->next_order++, std::move(action)});
    std::push_heap(this->events.begin(), this->events.end());
  }

  /// \brief Runs all actions, also those that they schedule.
  void run() {
    while (!this->events.empty()) {
      std::pop_heap(this->events.begin(), this->events.end());
      const auto next = std::move(this->events.back());
      this->events.pop_back();
      this->current = next.when;
      next.action();
    }
  }

 private:
  struct event {
    sim_time when;
    std::uint64_t order;
    std::function<void()> action;
    /// The event that is due first is the greatest.
    bool operator<(const event& other) const noexcept {
      return std::pair{this->when, this->order} > std::pair{other.when, other.order};
    }
  };

  sim_time current{0};
  std::uint64_t next_order{0};
  // A heap with the event that is due first at the front.
  std::vector<event> events;
};

}  // namespace zinnia::bench
