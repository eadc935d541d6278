// Checks that nodes act on the edits that the store has confirmed, whatever becomes of the store afterwards.
#pragma once

#include <absl/synchronization/mutex.h>

#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "statement_monitor.hpp"

namespace zinnia::soak {

/// \brief What a node does with a request that a confirmed edit may forbid.
enum class handling : unsigned char {
  /// Responds with 404 on a route; forbidden once the route is added.
  route_refused,
  /// Has a request on a route executed; forbidden once the route is dropped.
  route_served,
  /// Sends a request to an instance; forbidden once that is draining.
  sent_to_server,
  /// Sends a request to a failure domain; forbidden once that is evacuated.
  sent_to_domain,
};

/// \brief A process of a node: its name and a number that rises with each start.
using incarnation = std::pair<std::string, int>;

/// \brief   Records confirmed edits and what nodes do against them. Thread-safe.
/// \details An edit binds nodes in touch once its time limit has passed, and each process as soon as it has
///          acted on it.
class edit_monitor {
 public:
  /// \brief True if node and store have been undisturbed for long enough before that time, and since.
  using is_in_touch_predicate = std::function<bool(const std::string& node, soak_clock::time_point at)>;

  explicit edit_monitor(is_in_touch_predicate is_in_touch_in) : is_in_touch{std::move(is_in_touch_in)} {}

  /// \brief Records that the store has confirmed an edit that forbids this.
  /// \param target A route's path, an instance or a failure domain.
  void forbid(handling what, const std::string& target, soak_clock::time_point now);
  /// \brief Ends what `forbid` began, just before the store gets the opposite edit.
  void allow(handling what, const std::string& target);
  /// \brief Records what a process does.
  /// \param at When the caller sent the request or, if it concerns a server, when it arrived there.
  void on_handled(handling what, const std::string& target, const incarnation& process,
                  soak_clock::time_point at);
  /// \brief Returns one line per edit and node that did not keep to it.
  [[nodiscard]] std::vector<std::string> check() const;
  /// \brief Returns how often nodes were seen to act on edits, and how often they were excused.
  [[nodiscard]] std::string summary() const;

 private:
  using edit_key = std::pair<handling, std::string>;
  struct edit {
    soak_clock::time_point confirmed_at;
    /// When a process was first seen to act on it.
    std::map<incarnation, soak_clock::time_point> acted_on;
  };
  struct finding {
    int count{0};
    std::chrono::milliseconds first_after{0};
    std::chrono::milliseconds last_after{0};
  };

  is_in_touch_predicate is_in_touch;
  mutable absl::Mutex mutex;
  std::map<edit_key, edit> edits ABSL_GUARDED_BY(mutex);
  /// By edit, node and whether the process had acted on the edit before.
  std::map<std::tuple<edit_key, std::string, bool>, finding> findings ABSL_GUARDED_BY(mutex);
  int acted ABSL_GUARDED_BY(mutex){0};
  int excused ABSL_GUARDED_BY(mutex){0};
};

}  // namespace zinnia::soak
