// Admission of requests that other nodes forward, and requests that are stranded at this node.
#include <algorithm>

#include "hop_fields.hpp"
#include "peer_forwarding.hpp"
#include "request_flow.hpp"
#include "zinnia/gateway/forwarding_limits.hpp"
#include "zinnia/gateway/gateway.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int status_bad_request = 400;
constexpr int status_unavailable = 503;

}  // namespace
}  // namespace impl

void gateway::handle_forwarded(const std::shared_ptr<caller_exchange>& exchange) {
  this->counts.add(counter::forwarded_received);
  const auto forwarded = parse_forwarded_request(exchange->head().fields);
  if (!forwarded) {
    exchange->respond(impl::status_bad_request, {}, "");
    return;
  }
  reason why = reason::none;
  if (this->links.is_lost(this->clock.now())) {
    why = reason::links_lost;
  } else if (this->forwarded_in_flight >= max_forwarded_requests) {
    why = reason::peer_busy;
  } else if (this->current_snapshot != nullptr && this->current_snapshot->version < forwarded->version) {
    why = reason::no_settings;
  }
  if (why != reason::none) {
    this->refuse_unplaced(*exchange, impl::status_unavailable, why, true);
    return;
  }
  this->admit(exchange, &*forwarded);
}

void gateway::forward_stranded_requests() {
  if (!this->links.is_lost(this->clock.now())) {
    return;
  }
  std::vector<std::shared_ptr<request_flow>> stranded;
  stranded.reserve(this->flows.size());
  for (const auto& [ticket, flow] : this->flows) {
    stranded.push_back(flow);
  }
  for (const auto& flow : stranded) {
    flow->leave_lost_links();
  }
}

}  // namespace zinnia
