// Classifies the response of a peer that a request was forwarded to, or its absence.
#pragma once

#include "attempt_result.hpp"
#include "zinnia/core/clock.hpp"
#include "zinnia/core/reason.hpp"
#include "zinnia/core/verdict.hpp"
#include "zinnia/gateway/header_field_names.hpp"
#include "zinnia/http/backend_connection.hpp"

namespace zinnia {

/// \brief The result of forwarding a request to a peer.
struct peer_result {
  verdict run_verdict{verdict::may_have_run};
  reason failure_reason{reason::none};
  /// The response is that of a backend server and may be forwarded to the caller.
  bool can_forward{false};
  /// The request did not run, and another peer may serve it.
  bool can_try_other_peer{false};
  /// The peer could not be connected to.
  bool unreachable{false};
  /// The number of backend servers to which the peer has sent the request, as far as it says so.
  int sent_count{0};
  /// What the peer said in its own response.
  duration retry_after{0};
};

/// \brief   Classifies a peer's complete response by its head.
/// \details A response without the fields between nodes says nothing: the request may have run.
[[nodiscard]] peer_result classify_peer_response(const response_head& response,
                                                 const header_field_names& field_names);

/// \brief Classifies a call to a peer by how it ended; a complete response is classified by its head.
[[nodiscard]] peer_result classify_peer_call(const backend_call_result& end, const response_head& response,
                                             const header_field_names& field_names);

}  // namespace zinnia
