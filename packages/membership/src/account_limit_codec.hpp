// Decodes the part of a notices datagram that concerns the limits of accounts.
#pragma once

#include "generated/notices_generated.h"
#include "zinnia/accounts/account_limits.hpp"

namespace zinnia {

/// \brief   Reads asks and grants of a verified datagram.
/// \returns Null, or why the datagram is malformed.
[[nodiscard]] const char* decode_account_messages(const membership::fbs::HolderNotices& root,
                                                  account_messages& decoded);

}  // namespace zinnia
