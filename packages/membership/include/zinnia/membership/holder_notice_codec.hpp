// Encodes holder notices as FlatBuffers datagrams and decodes them (schema in notices.fbs).
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia/core/result.hpp"
#include "zinnia/routing/holder_notice.hpp"

namespace zinnia {

/// \brief Upper limit on the notices of one datagram, so that it fits into one Ethernet frame.
inline constexpr std::size_t max_notices_per_datagram = 30;

/// \param notices At most `max_notices_per_datagram`.
[[nodiscard]] std::string encode_holder_notices(std::span<const holder_notice> notices);

/// \brief   Decodes a datagram from an untrusted sender.
/// \details Fails with `reason::malformed_frame` if the datagram is not valid, has too many notices, or has
///          a load time of over a minute.
[[nodiscard]] result<std::vector<holder_notice>> decode_holder_notices(std::string_view datagram);

}  // namespace zinnia
