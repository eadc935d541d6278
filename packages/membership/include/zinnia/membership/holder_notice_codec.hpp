// Encodes holder notices and crash reports as FlatBuffers datagrams and decodes them (schema in notices.fbs).
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia/accounts/account_limits.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/routing/crash_report.hpp"
#include "zinnia/routing/holder_notice.hpp"

namespace zinnia {

/// \brief The contents of one datagram.
struct node_notices {
  std::vector<holder_notice> holders;
  std::vector<crash_report> crashes;
  account_messages accounts;
  /// Where the datagram came from; set by the receiver.
  ip_endpoint sender;
};

/// \brief Upper limit on the notices or reports of one datagram, so that it fits into one Ethernet frame.
inline constexpr std::size_t max_notices_per_datagram = 30;

/// \param notices At most `max_notices_per_datagram`.
[[nodiscard]] std::string encode_holder_notices(std::span<const holder_notice> notices);

/// \param reports At most `max_notices_per_datagram`.
[[nodiscard]] std::string encode_crash_reports(std::span<const crash_report> reports);

/// \brief   Decodes a datagram from an untrusted sender.
/// \details Fails with `reason::malformed_frame` if the datagram is not valid, has too many notices, or has
///          a load time of over a minute, has a report with an unknown level or of over a day ago, or has an
///          ask or a grant of too many tokens.
[[nodiscard]] result<node_notices> decode_notices(std::string_view datagram);

}  // namespace zinnia
