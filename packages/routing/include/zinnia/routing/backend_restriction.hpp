// Why a backend server gets no requests from this node, or fewer than it has room for.
#pragma once

#include <optional>
#include <string_view>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief What keeps requests from a backend server.
enum class restriction_kind : unsigned char {
  /// It did not respond; a health check must succeed first.
  suspended,
  /// Its entry says that it is draining.
  draining,
  /// It said in a response that it is about to stop.
  leaving,
  /// It said in a response for how long it wants no requests.
  busy,
  /// It named a limit of requests per second. It is in use, with this node's part of the limit.
  limited,
  /// Its failure domain is evacuated.
  evacuated,
  /// A drain that an operator has planned has closed it.
  drained_by_shift,
  /// It has started or recovered and gets requests as fast as its answers allow. It is in use.
  recovering,
  count,
};

[[nodiscard]] std::string_view to_string(restriction_kind value) noexcept;

/// \brief One reason for which one backend server is restricted at this node.
struct backend_restriction {
  backend_id backend;
  service_id service;
  failure_domain_id domain;
  restriction_kind kind{restriction_kind::suspended};
  /// Time until the server's busy time ends, or until the next health check if it is suspended; at least 0.
  /// Empty for the other kinds, whose end this node does not know.
  std::optional<duration> remaining;
  /// Requests per second of all nodes together, and this node's part; 0 unless the server is limited.
  double limit_per_second{0};
  double share_per_second{0};
  /// Requests that the server may have at a time, and since when it recovers; 0 unless it does.
  double recovery_limit{0};
  duration recovering_for{0};
};

}  // namespace zinnia
