// The header fields that a forwarded request and its response have only between two nodes.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "zinnia/accounts/account_access.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/reason.hpp"
#include "zinnia/core/verdict.hpp"
#include "zinnia/http/message.hpp"
#include "zinnia/routing/declarations.hpp"

namespace zinnia {

/// \brief What a node tells the peer that it forwards a request to.
struct forwarded_request {
  /// The node that the caller sent the request to.
  node_id sender;
  /// The configuration version of the sender. A peer with an older one refuses the request.
  config_version version;
  /// The destination that the sender has counted the request for.
  service_id service;
  /// The number of backend servers to which the peer may send the request, at least one.
  int attempts_left{1};
  /// Backend servers to which the sender has sent the request.
  std::vector<backend_id> tried;
  /// The account of the caller's key as the sender knows it; nullopt if there is none, or if the sender's
  /// build knows no accounts.
  std::optional<account_identity> account{};
};

/// \brief What a peer tells the node that forwarded a request to it.
struct hop_result {
  verdict run_verdict{verdict::may_have_run};
  /// `reason::none` if the response is that of a backend server; otherwise the peer made it.
  reason own_reason{reason::none};
  /// The number of backend servers to which the peer has sent the request.
  int sent_count{0};
};

/// \brief Returns the names of all fields that must not reach callers or backend servers.
[[nodiscard]] const std::vector<std::string_view>& hop_field_names();

[[nodiscard]] header_fields encode_hop_fields(const forwarded_request& request);
[[nodiscard]] header_fields encode_hop_fields(const hop_result& result);

/// \brief Returns what the sender told, or `std::nullopt` if a field is missing or malformed.
[[nodiscard]] std::optional<forwarded_request> parse_forwarded_request(const header_fields& fields);
[[nodiscard]] std::optional<hop_result> parse_hop_result(const header_fields& fields);

/// \brief   Returns true if a peer's response says that it refused the request on arrival.
/// \details Another peer may serve it then.
[[nodiscard]] bool is_refused_on_arrival(const hop_result& result) noexcept;

}  // namespace zinnia
