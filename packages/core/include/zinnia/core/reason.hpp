// The one enumeration of reasons for refusals and retries. Each is a counter and a word in fate records.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace zinnia {

enum class reason : unsigned char {
  none,
  // Caller input.
  bad_request,
  body_too_large,
  unknown_service,
  // Admission.
  deadline_passed,
  queue_full,
  slots_busy,
  wait_exceeds_deadline,
  reserve_kept,
  workers_busy,
  entry_leaving,
  // Placement.
  no_holder,
  no_settings,
  term_lapsed,
  share_exhausted,
  draining,
  retry_budget_empty,
  // Delivery to a backend server.
  connect_failed,
  backend_refused,
  backend_shed,
  reset_before_first_byte,
  reset_mid_answer,
  backend_timeout,
  backend_error,
  answer_too_large,
  cancelled,
  // Idempotency keys.
  key_uncertain,
  key_reused,
  key_recovering,
  key_table_full,
  resolved_by_operator,
  answer_not_kept,
  journal_unavailable,
  journal_fenced,
  // Peers.
  peer_unreachable,
  peer_lost,
  malformed_frame,
  frame_too_large,
  version_mismatch,
  // Platform.
  store_unavailable,
  store_conflict,
  store_unknown,
  invalid_setting,
  // Direct dispatch.
  no_route,
  no_backend,
  backend_replaced,
  answer_unsound,
  route_timeout,
  caller_left,
  attempts_exhausted,
  memory_short,
  count,
};

inline constexpr std::size_t reason_count = static_cast<std::size_t>(reason::count);

/// \brief The reason's word in metrics, logs and answers, such as "queue-full".
[[nodiscard]] std::string_view to_word(reason value) noexcept;

/// \brief The reason that a word names, or nothing.
[[nodiscard]] std::optional<reason> reason_from_word(std::string_view word) noexcept;

}  // namespace zinnia
