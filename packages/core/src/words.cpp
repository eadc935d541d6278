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
    "body-too-large",
    "unknown-service",
    "deadline-passed",
    "queue-full",
    "slots-busy",
    "wait-exceeds-deadline",
    "reserve-kept",
    "workers-busy",
    "entry-leaving",
    "no-holder",
    "no-settings",
    "term-lapsed",
    "share-exhausted",
    "draining",
    "retry-budget-empty",
    "connect-failed",
    "backend-refused",
    "backend-shed",
    "reset-before-first-byte",
    "reset-mid-answer",
    "backend-timeout",
    "backend-error",
    "answer-too-large",
    "cancelled",
    "key-uncertain",
    "key-reused",
    "key-recovering",
    "key-table-full",
    "resolved-by-operator",
    "answer-not-kept",
    "journal-unavailable",
    "journal-fenced",
    "peer-unreachable",
    "peer-lost",
    "malformed-frame",
    "frame-too-large",
    "version-mismatch",
    "store-unavailable",
    "store-conflict",
    "store-unknown",
    "invalid-setting",
    "no-route",
    "no-backend",
    "backend-replaced",
    "answer-unsound",
    "route-timeout",
    "caller-left",
    "attempts-exhausted",
    "memory-short",
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

std::string_view to_word(verdict value) noexcept {
  return impl::verdict_words.at(static_cast<std::size_t>(value));
}

std::optional<verdict> verdict_from_word(std::string_view word) noexcept {
  return impl::find_word<verdict>(impl::verdict_words, word);
}

std::string_view to_word(reason value) noexcept {
  return impl::reason_words.at(static_cast<std::size_t>(value));
}

std::optional<reason> reason_from_word(std::string_view word) noexcept {
  return impl::find_word<reason>(impl::reason_words, word);
}

}  // namespace zinnia
