// Encodes heartbeats as FlatBuffers datagrams and decodes them (schema in beat.fbs).
#pragma once

#include <string>
#include <string_view>

#include "zinnia/core/result.hpp"
#include "zinnia/membership/member_table.hpp"

namespace zinnia {

/// \brief Returns the heartbeat as the payload of one datagram.
[[nodiscard]] std::string encode_heartbeat(const node_heartbeat& heartbeat);

/// \brief   Decodes a datagram from an untrusted sender.
/// \details Fails with `reason::malformed_frame` if the datagram is not a valid heartbeat.
[[nodiscard]] result<node_heartbeat> decode_heartbeat(std::string_view datagram);

}  // namespace zinnia
