// The names of verdicts and reasons, in the order of their enumerators.
#include <algorithm>
#include <array>

#include "zinnia/core/reason.hpp"
#include "zinnia/core/verdict.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::array<std::string_view, 3> verdict_names{"did-not-run", "may-have-run", "ran"};

constexpr std::array<std::string_view, reason_count> reason_names{
    "none",
    "bad-request",
    "no-route",
    "no-settings",
    "memory-short",
    "unknown-key",
    "account-over-limit",
    "configuration-unconfirmed",
    "no-backend",
    "backend-limited",
    "backend-busy",
    "wait-exceeds-deadline",
    "deadline-passed",
    "request-quarantined",
    "links-lost",
    "peer-busy",
    "node-stopping",
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
static_assert(!reason_names.back().empty(), "every reason has a name");

template <class Enum, std::size_t Size>
[[nodiscard]] std::optional<Enum> find_by_name(const std::array<std::string_view, Size>& names,
                                               std::string_view name) noexcept {
  const auto* const found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) {
    return std::nullopt;
  }
  return static_cast<Enum>(found - names.begin());
}

}  // namespace
}  // namespace impl

std::string_view to_string(verdict value) noexcept {
  return impl::verdict_names.at(static_cast<std::size_t>(value));
}

std::optional<verdict> parse_verdict(std::string_view name) noexcept {
  return impl::find_by_name<verdict>(impl::verdict_names, name);
}

std::string_view to_string(reason value) noexcept {
  return impl::reason_names.at(static_cast<std::size_t>(value));
}

std::optional<reason> parse_reason(std::string_view name) noexcept {
  return impl::find_by_name<reason>(impl::reason_names, name);
}

}  // namespace zinnia
