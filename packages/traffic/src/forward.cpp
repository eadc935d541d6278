// Forwarding, with the share gate around whatever leaves the region.
#include "forward.hpp"

namespace zinnia::impl {
namespace {

constexpr duration share_retry_after{200};

/// Holds one unit of a share while a request is in flight.
class share_use {
 public:
  share_use(slot_service& slots_in, share_key key_in) : slots{slots_in}, key{std::move(key_in)} {}
  share_use(const share_use&) = delete;
  share_use& operator=(const share_use&) = delete;
  share_use(share_use&&) = delete;
  share_use& operator=(share_use&&) = delete;
  ~share_use() { this->slots.leave(this->key); }

 private:
  slot_service& slots;
  share_key key;
};

[[nodiscard]] exchange_answer exchange_with(filter_context& context, const traffic_request& request,
                                            const node_status& to, exchange_stage stage) {
  const auto address = parse_address(to.entry.peer_address);
  if (!address) {
    return refuse(request, reason::peer_unreachable);
  }
  exchange_request exchange;
  exchange.id = request.id;
  exchange.service = request.service;
  exchange.stage = stage;
  exchange.method = request.method;
  exchange.path = request.path;
  exchange.key = request.key;
  exchange.deadline_left = request.deadline - context.clock.now();
  exchange.origin_region = request.origin_region;
  exchange.from_elsewhere = request.from_elsewhere || to.region != context.region;
  exchange.may_queue = request.may_queue;
  exchange.headers = request.headers;
  exchange.body = request.body;
  context.counts.add(counter::forwards);
  return context.peers.exchange(*address, exchange, request.cancelled);
}

}  // namespace

exchange_answer forward(filter_context& context, const traffic_request& request, const node_status& to,
                        exchange_stage stage) {
  if (to.region == context.region) {
    return exchange_with(context, request, to, stage);
  }
  const share_key key{to.region, request.service};
  if (!context.slots.try_enter(key)) {
    return refuse(request, reason::share_exhausted, share_retry_after);
  }
  const share_use use{context.slots, key};
  return exchange_with(context, request, to, stage);
}

void prepend_attempts(exchange_answer& answer, const std::vector<attempt_record>& former) {
  answer.attempts.insert(answer.attempts.begin(), former.begin(), former.end());
}

}  // namespace zinnia::impl
