// A request that crashes every backend server that runs it, and the bound on how often nodes send it.
#pragma once

#include <absl/synchronization/mutex.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "statement_monitor.hpp"

namespace zinnia::soak {

inline constexpr const char* crashing_path = "/r0/crash";

/// \brief   Counts the crashes and what nodes send later. Thread-safe.
/// \details A node that has been interrupted shortly before may have forgotten the request, and is not
///          judged.
class crashing_request {
 public:
  /// \brief Records that a server has received the request from a node and crashes.
  void on_crash(const std::string& node, const statement_monitor::is_calm_predicate& is_calm,
                soak_clock::time_point now);
  /// \brief Returns a line if nodes together have sent the request more often than they may.
  [[nodiscard]] std::optional<std::string> check() const;
  [[nodiscard]] std::size_t crashes() const;

 private:
  mutable absl::Mutex mutex;
  std::size_t crash_count ABSL_GUARDED_BY(mutex){0};
  soak_clock::time_point third_crash_at ABSL_GUARDED_BY(mutex);
  // Nodes that sent the request although they could have known of the third crash.
  std::vector<std::string> late_senders ABSL_GUARDED_BY(mutex);
};

}  // namespace zinnia::soak
