// The one enumeration of reasons for refusals and retries. Each is a counter and a word in fate records.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace zinnia {

enum class reason : unsigned char {
  none,
  // Requests refused before placement.
  bad_request,
  no_route,
  no_settings,
  memory_short,
  // Placement.
  no_backend,
  wait_exceeds_deadline,
  deadline_passed,
  // Delivery to a backend server.
  connect_failed,
  backend_shed,
  backend_replaced,
  backend_error,
  answer_unsound,
  reset_before_first_byte,
  reset_mid_answer,
  route_timeout,
  caller_left,
  // Input from elsewhere.
  malformed_frame,
  invalid_setting,
  count,
};

inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::count);

/// \brief The reason's word in metrics, logs and answers, such as "queue-full".
[[nodiscard]] std::string_view to_string(reason value) noexcept;

/// \brief The reason that a word names, or nothing.
[[nodiscard]] std::optional<reason> parse_reason(std::string_view word) noexcept;

}  // namespace zinnia
