// The words of verdicts and reasons, in the order of their enumerations.
#include <algorithm>
#include <array>

#include "zinnia/core/reason.hpp"
#include "zinnia/core/verdict.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::array<std::string_view, 3> verdict_words{"did-not-run", "may-have-run", "ran"};

constexpr std::array<std::string_view, reason_count> reason_words{
    "none",
    "bad-request",
    "no-route",
    "no-settings",
    "memory-short",
    "no-backend",
    "wait-exceeds-deadline",
    "deadline-passed",
    "connect-failed",
    "backend-shed",
    "backend-replaced",
    "backend-error",
    "answer-unsound",
    "reset-before-first-byte",
    "reset-mid-answer",
    "route-timeout",
    "caller-left",
    "malformed-frame",
    "invalid-setting",
};
static_assert(!reason_words.back().empty(), "every reason has a word");

template <class Enum, std::size_t Size>
[[nodiscard]] std::optional<Enum> find_word(const std::array<std::string_view, Size>& words,
                                            std::string_view word) noexcept {
  const auto* const found = std::find(words.begin(), words.end(), word);
  if (found == words.end()) {
    return std::nullopt;
  }
  return static_cast<Enum>(found - words.begin());
}

}  // namespace
}  // namespace impl

std::string_view to_string(verdict value) noexcept {
  return impl::verdict_words.at(static_cast<std::size_t>(value));
}

std::optional<verdict> parse_verdict(std::string_view word) noexcept {
  return impl::find_word<verdict>(impl::verdict_words, word);
}

std::string_view to_string(reason value) noexcept {
  return impl::reason_words.at(static_cast<std::size_t>(value));
}

std::optional<reason> parse_reason(std::string_view word) noexcept {
  return impl::find_word<reason>(impl::reason_words, word);
}

}  // namespace zinnia
