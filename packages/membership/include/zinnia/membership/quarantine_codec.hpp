// JSON documents of quarantined requests in the store.
#pragma once

#include <cstdint>
#include <string>

#include "zinnia/core/result.hpp"
#include "zinnia/routing/crash_report.hpp"

namespace zinnia {

/// \brief Returns the name of a quarantined request's object: its fingerprint in hexadecimal digits.
[[nodiscard]] std::string quarantine_name(request_fingerprint request);

/// \param unix_now_ms Converts ages to times, which outlive the process.
[[nodiscard]] std::string encode_quarantine(const crash_report& report, std::int64_t unix_now_ms);

/// \brief   Decodes an object. A time in the future counts as now: the clocks of VMs differ.
/// \details Fails with `reason::invalid_setting`, naming the object, if the name is not a fingerprint, a
///          field is missing, or a value is out of its range.
[[nodiscard]] result<crash_report> decode_quarantine(const std::string& name, const std::string& document,
                                                     std::int64_t unix_now_ms);

}  // namespace zinnia
