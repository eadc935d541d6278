// Heartbeats as datagrams, by FlatBuffers.
#pragma once

#include <string>
#include <string_view>

#include "zinnia/core/result.hpp"
#include "zinnia/membership/member_table.hpp"

namespace zinnia {

[[nodiscard]] std::string encode_beat(const member_beat& beat);

/// \brief Reads a datagram from anyone; an error says that it is not a heartbeat.
[[nodiscard]] result<member_beat> decode_beat(std::string_view datagram);

}  // namespace zinnia
