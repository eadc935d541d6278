// Options that every TCP socket of a node has, so that a silent peer is noticed.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief How long sent data may stay unacknowledged; a few round trips of the longest link (110 ms).
inline constexpr duration unacknowledged_limit{1500};
/// \brief Idle time before the first keep-alive probe, and between probes; the smallest that Linux takes.
inline constexpr int keep_alive_seconds = 1;
/// \brief Unanswered probes before a connection counts as dead; two, as one packet may be lost.
inline constexpr int keep_alive_probes = 2;

/// \brief Sets the options on a socket's descriptor; a refused option is left at the system's value.
void set_liveness_options(int descriptor) noexcept;

}  // namespace zinnia
