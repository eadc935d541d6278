// Identifies requests by what backend servers see of them.
#pragma once

#include <optional>
#include <string_view>

#include "zinnia/http/message.hpp"
#include "zinnia/routing/crash_report.hpp"

namespace zinnia {

/// \brief   Returns the same value for a request that comes again, also under another request id, with
///          another deadline or over another connection.
/// \details Covers the method, the host, the target, the object and the body. Other header fields differ
///          between attempts of one caller and are left out, except the credentials in Authorization.
[[nodiscard]] request_fingerprint fingerprint_of(const request_head& head,
                                                 const std::vector<std::string_view>& body,
                                                 std::optional<std::string_view> object_key);

}  // namespace zinnia
