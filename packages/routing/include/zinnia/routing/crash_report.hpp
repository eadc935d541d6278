// What nodes tell each other about requests that were at backend servers when these crashed.
#pragma once

#include <cstdint>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/units.hpp"

namespace zinnia {

/// \brief Hash of a request's contents; the same each time that the request comes.
using request_fingerprint = strong_number<struct request_fingerprint_tag, std::uint64_t>;

/// \brief A backend server crashed while it had a request, or a suspected request was answered.
struct crash_report {
  request_fingerprint request;
  /// Hash of the crashed server's id; 0 if the request was answered.
  std::uint64_t backend{0};
  /// The number of crashes in succession, each by a request that was sent after the one before was known; 0
  /// if the request was answered.
  int level{0};
  /// The number of servers that have crashed while they had the request, in succession or not.
  int crashes{0};
  /// Time since the last of these crashes, or since the answer.
  duration age{0};
  /// Time since the first of these crashes.
  duration first_age{0};

  friend bool operator==(const crash_report&, const crash_report&) = default;
};

}  // namespace zinnia
