// Options of every TCP socket of a node: no send delay, and early detection of an unresponsive peer.
#pragma once

namespace zinnia {

/// \brief Sets the options on a socket descriptor. An option that the system rejects keeps its default value.
/// \see   tcp_timeouts.hpp
void set_tcp_options(int descriptor) noexcept;

}  // namespace zinnia
