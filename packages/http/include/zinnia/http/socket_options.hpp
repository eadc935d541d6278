// Options of every TCP socket of a node: no send delay, and early detection of an unresponsive peer.
#pragma once

#include <cstddef>

namespace zinnia {

/// \brief Sets the options on a connection to a server. An option that the system rejects keeps its default
///        value.
/// \see   tcp_timeouts.hpp
void set_tcp_options(int descriptor) noexcept;

/// \brief   Sets the options on a connection from a caller.
/// \details Without `TCP_USER_TIMEOUT`, which would also reset a caller that has paused reading.
void set_caller_tcp_options(int descriptor) noexcept;

/// \brief Returns how many sent bytes the peer has not acknowledged; 0 if the system does not tell.
[[nodiscard]] std::size_t unacknowledged_bytes(int descriptor) noexcept;

/// \brief   Bounds the bytes that may arrive on a connection and not be read yet.
/// \details Connections inherit the bound of their listening socket. An option that the system rejects keeps
///          its default value.
void set_receive_window(int descriptor, std::size_t bytes) noexcept;

}  // namespace zinnia
