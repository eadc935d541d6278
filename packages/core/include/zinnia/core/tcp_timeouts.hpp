// How soon a silent peer of a TCP connection is noticed; the same for callers, backend servers and the store.
#pragma once

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief How long sent data may stay unacknowledged; a few round trips of the longest link (110 ms).
inline constexpr duration tcp_user_timeout{1500};
/// \brief Idle time before the first keep-alive probe, and between probes; the smallest that Linux takes.
inline constexpr int keep_alive_interval_s = 1;
/// \brief Unanswered probes before a connection counts as dead; two, as one packet may be lost.
inline constexpr int keep_alive_probes = 2;

}  // namespace zinnia
