// Answers all requests before the process of a stopping node ends.
#include <algorithm>
#include <memory>
#include <vector>

#include "request_flow.hpp"
#include "zinnia/gateway/gateway.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int status_bad_gateway = 502;
constexpr int status_unavailable = 503;

}  // namespace
}  // namespace impl

void gateway::begin_stop(time_point answer_by_in) {
  this->answer_by = answer_by_in;
  std::vector<std::shared_ptr<request_flow>> current;
  current.reserve(this->flows.size());
  for (const auto& [ticket, flow] : this->flows) {
    current.push_back(flow);
  }
  for (const auto& flow : current) {
    flow->answer_before_stop(answer_by_in);
  }
}

std::optional<reason> gateway::refusal_by_head(const request_head& head, time_point started) const {
  const auto* const route = this->find_route(head);
  if (route == nullptr) {
    return std::nullopt;
  }
  const auto deadline = this->deadline_of(head, *route, started);
  if (deadline <= this->clock.now()) {
    return reason::deadline_passed;
  }
  if (this->answer_by && !is_repeatable(route->kind, head.method) && deadline > *this->answer_by) {
    return reason::node_stopping;
  }
  return std::nullopt;
}

void gateway::refuse_partial(const std::shared_ptr<caller_exchange>& exchange, reason why) {
  this->counts.add(counter::requests);
  this->refuse_unplaced(*exchange, impl::status_unavailable, why, false);
}

void gateway::refuse_partial_forwarded(const std::shared_ptr<caller_exchange>& exchange, reason why) {
  this->counts.add(counter::forwarded_received);
  this->refuse_unplaced(*exchange, impl::status_unavailable, why, true);
}

void request_flow::answer_before_stop(time_point answer_by) {
  if (this->closed || this->committed || this->deadline <= answer_by) {
    return;
  }
  this->deadline = answer_by;
  this->start_deadline_timer(this->time_left());
  if (this->queued) {
    this->leave_queue();
    this->reassign();
  }
}

bool request_flow::refuse_if_stopping() {
  if (this->idempotent || !this->is_cut_short_by_stop()) {
    return false;
  }
  this->end_for_stop();
  return true;
}

void request_flow::end_for_stop() {
  if (this->run_verdict == verdict::did_not_run) {
    // Other nodes serve the caller at once.
    this->refuse(reason::node_stopping, duration{0});
  } else {
    this->fail(impl::status_bad_gateway, reason::node_stopping);
  }
}

std::chrono::milliseconds request_flow::time_left() const noexcept {
  const auto left = this->deadline - this->owner.clock.now();
  return std::chrono::milliseconds{std::max<std::int64_t>(left.ms, 0)};
}

}  // namespace zinnia
