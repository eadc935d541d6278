// What a backend server says about itself in the header fields of a response.
#pragma once

#include <optional>

namespace zinnia {

/// \brief Load that a backend server reports with a response, in requests.
struct load_report {
  int running{0};
  int waiting{0};
  int slots{1};
};

/// \brief   A server's statements in one response. They are about the server, not about the request.
/// \details A statement holds until a later response of the server makes another or leaves it out.
struct backend_statement {
  std::optional<load_report> load;
  /// Requests per second that the server accepts from all nodes together, above 0; empty if the response
  /// names no limit.
  std::optional<double> rate_limit;
  /// The response names a limit that cannot be read: an earlier limit stays in force.
  bool is_rate_limit_unreadable{false};
};

}  // namespace zinnia
