// Whether a request may have run: the one fact that decides retries and what a caller may be told.
#pragma once

#include <optional>
#include <string_view>

namespace zinnia {

/// \brief What is known of one delivery, or of a whole request.
enum class verdict : unsigned char {
  /// No byte left, or the backend server refused in so many words.
  did_not_run,
  /// Nobody can tell. Never retried for a non-idempotent request.
  may_have_run,
  /// A complete answer arrived.
  ran,
};

/// \brief The word used in headers, bodies and fate records, such as "did-not-run".
[[nodiscard]] std::string_view to_string(verdict value) noexcept;

/// \brief The verdict that a word names, or nothing.
[[nodiscard]] std::optional<verdict> parse_verdict(std::string_view word) noexcept;

/// \brief   Joins the verdicts of two deliveries of the same request.
/// \details The request ran if any delivery ran, and may have run if any delivery may have.
[[nodiscard]] constexpr verdict combine(verdict a, verdict b) noexcept {
  return a > b ? a : b;
}

}  // namespace zinnia
