// The verdict states if a backend server ran a request. It decides which requests may be retried and what the
// response to the caller says.
#pragma once

#include <optional>
#include <string_view>

namespace zinnia {

/// \brief Whether one attempt, or a whole request, ran on a backend server.
enum class verdict : unsigned char {
  /// No byte was sent, or the backend server explicitly refused the request.
  did_not_run,
  /// Unknown. A non-idempotent request with this verdict is never retried.
  may_have_run,
  /// A complete response arrived.
  ran,
};

/// \brief Returns the verdict's name in headers, bodies and fate records, such as "did-not-run".
[[nodiscard]] std::string_view to_string(verdict value) noexcept;

/// \brief Returns the verdict with this name; `std::nullopt` if there is none.
[[nodiscard]] std::optional<verdict> parse_verdict(std::string_view name) noexcept;

/// \brief   Combines the verdicts of two attempts of the same request.
/// \details The request ran if any attempt ran, and may have run if any attempt may have run.
[[nodiscard]] constexpr verdict combine(verdict a, verdict b) noexcept {
  return a > b ? a : b;
}

}  // namespace zinnia
