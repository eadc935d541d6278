// TCP timeouts that detect an unresponsive peer; the same for callers, backend servers and the store.
#pragma once

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief The maximum time for which sent data may stay unacknowledged. Several round trips of the longest
///        link (110 ms).
inline constexpr duration tcp_user_timeout{1500};
/// \brief The idle time before the first keep-alive probe, and the interval between probes. 1 s is the
///        minimum on Linux.
inline constexpr int keep_alive_interval_s = 1;
/// \brief The number of unacknowledged probes after which a connection counts as dead. 2, since a single
///        packet can be lost.
inline constexpr int keep_alive_probes = 2;

}  // namespace zinnia
