// What a backend server says about itself in the header fields of a response.
#pragma once

#include <optional>

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief Load that a backend server reports with a response, in requests.
struct load_report {
  int running{0};
  int waiting{0};
  /// 0 if the server does not state it.
  int slots{0};
  /// How long work takes on the server's machine at this moment, in percent of the usual time; empty if the
  /// server does not state it or states an invalid figure.
  std::optional<double> work_percent{};
};

/// \brief A server's statements in one response. They are about the server, not about the request.
struct backend_statement {
  std::optional<load_report> load;
  /// Requests per second that the server accepts from all nodes together; empty if the response names no
  /// limit or one that cannot be read.
  std::optional<double> rate_limit;
  /// The response names no limit, which ends an earlier one. False also for a limit that cannot be read.
  bool names_no_rate_limit{false};
  /// The server is about to stop and wants no more requests.
  bool is_leaving{false};
  /// The server refused a request because it is busy, and wants none from this node for so long.
  std::optional<duration> busy_for;
};

}  // namespace zinnia
