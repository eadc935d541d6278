// Encodes what nodes send each other about the limits of accounts (schema in notices.fbs).
#pragma once

#include <cstddef>
#include <string>

#include "zinnia/accounts/account_limits.hpp"

namespace zinnia {

/// \brief Upper limit on the asks, and on the grants, of one datagram.
inline constexpr std::size_t max_account_messages_per_datagram = 20;

/// \brief Encodes asks and grants, at most `max_account_messages_per_datagram` of each, as a datagram that
///        `decode_notices` reads.
[[nodiscard]] std::string encode_account_messages(const account_messages& messages);

}  // namespace zinnia
