// Heartbeats as datagrams, by FlatBuffers.
#pragma once

#include <string>
#include <string_view>

#include "zinnia/core/result.hpp"
#include "zinnia/membership/member_table.hpp"

namespace zinnia {

[[nodiscard]] std::string encode_heartbeat(const node_heartbeat& beat);

/// \brief Reads a datagram from anyone; an error says that it is not a heartbeat.
[[nodiscard]] result<node_heartbeat> decode_heartbeat(std::string_view datagram);

}  // namespace zinnia
