// The reasons for refusals, retries and errors. Metrics count refusals and retries by reason, and fate
// records contain the reason's name.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace zinnia {

enum class reason : unsigned char {
  none,
  // Before placement.
  bad_request,
  no_route,
  no_settings,
  memory_short,
  /// The request has no key, or one that no account holds.
  unknown_key,
  account_over_limit,
  /// The request needs a key, and this node cannot prove that its configuration is current.
  configuration_unconfirmed,
  // During placement.
  no_backend,
  backend_limited,
  backend_busy,
  wait_exceeds_deadline,
  deadline_passed,
  request_quarantined,
  /// This node has lost its links to the backend servers, and no peer can serve the request.
  links_lost,
  /// All connections to the peers that could serve the request are in use, or the peer has no room.
  peer_busy,
  /// This node is stopping, and the request could not be answered for certain before its process ends.
  node_stopping,
  // During forwarding to a backend server.
  connect_failed,
  backend_shed,
  backend_replaced,
  backend_error,
  answer_unsound,
  reset_before_first_byte,
  reset_mid_answer,
  route_timeout,
  caller_left,
  // Invalid input.
  malformed_frame,
  invalid_setting,
  count,
};

inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::count);

/// \brief Returns the reason's name in metrics, logs and responses, such as "no-backend".
[[nodiscard]] std::string_view to_string(reason value) noexcept;

/// \brief Returns the reason with this name; `std::nullopt` if there is none.
[[nodiscard]] std::optional<reason> parse_reason(std::string_view name) noexcept;

}  // namespace zinnia
