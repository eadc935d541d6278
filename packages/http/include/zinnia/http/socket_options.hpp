// Options that every TCP socket of a node has, so that a silent peer is noticed.
#pragma once

namespace zinnia {

/// \brief Sets the options on a socket's descriptor; a refused option is left at the system's value.
/// \see   socket_limits.hpp
void set_tcp_options(int descriptor) noexcept;

}  // namespace zinnia
