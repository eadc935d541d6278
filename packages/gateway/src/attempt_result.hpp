// Classifies the response to an attempt, or its absence.
#pragma once

#include "zinnia/core/reason.hpp"
#include "zinnia/core/verdict.hpp"
#include "zinnia/gateway/header_field_names.hpp"
#include "zinnia/http/backend_connection.hpp"
#include "zinnia/routing/backend_state.hpp"

namespace zinnia {

/// \brief The result of one attempt. The default is a response that is forwarded unchanged.
struct attempt_result {
  backend_outcome outcome{backend_outcome::responded};
  verdict run_verdict{verdict::ran};
  reason failure_reason{reason::none};
  /// The response may be forwarded to the caller.
  bool can_forward{true};
  /// An attempt at another backend server may succeed.
  bool can_retry{false};
};

/// \brief   Classifies a complete response by its head.
/// \details A refusal reaches the caller only as this node's own response: callers take a 503 to mean that
///          the request did not run, and a server's 503 without the `did_not_run` field does not ensure that.
///          A success without the response stamp does not come from the backend server.
[[nodiscard]] attempt_result classify_response(const response_head& response,
                                               const header_field_names& field_names);

/// \brief Classifies an attempt by how its call ended; a complete response is classified by its head.
[[nodiscard]] attempt_result classify_attempt(const backend_call_result& end, const response_head& response,
                                              const header_field_names& field_names);

/// \brief Returns true for statuses from 200 to 299.
[[nodiscard]] bool is_success(int status) noexcept;

}  // namespace zinnia
