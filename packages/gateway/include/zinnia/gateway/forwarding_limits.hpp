// Limits for the requests that nodes forward to each other.
#pragma once

#include <cstddef>
#include <cstdint>

namespace zinnia {

/// \brief Connections for forwarded requests that a node accepts; the other nodes have equal shares.
inline constexpr std::size_t max_forwarding_connections = 400;
/// \brief   Forwarded requests that a node serves at a time; it refuses further ones on arrival.
/// \details Below `max_forwarding_connections`: a connection that is closed unread leaves its sender in doubt
/// if
///          the request has run.
inline constexpr std::size_t max_forwarded_requests = 256;
/// \brief Peers to which a request is handed one after the other, at most.
inline constexpr std::size_t max_peers_tried = 2;
/// \brief Bytes of header fields that a forwarded request may have beyond the callers' limit.
inline constexpr std::uint32_t max_hop_field_bytes = 4 << 10;

}  // namespace zinnia
