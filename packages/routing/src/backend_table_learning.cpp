// What the backend table learns from its own attempts and from other nodes.
#include <algorithm>
#include <utility>

#include "zinnia/routing/backend_table.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Weight of the newest request in a service's mean slot time, once there are enough of them.
constexpr double slot_time_ewma_weight = 0.05;
/// How often nodes are told that a server still holds an object, so that a node that starts serving learns
/// it.
constexpr duration holder_notice_period{5000};

}  // namespace
}  // namespace impl

void backend_table::record_service_time(const service_id& service, double took_ms) {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return;
  }
  auto& group = found->second;
  ++group.slot_time_samples;
  // The plain mean until the samples outnumber the moving average's.
  const double weight = std::max(1.0 / group.slot_time_samples, impl::slot_time_ewma_weight);
  group.mean_slot_time_ms += (took_ms - group.mean_slot_time_ms) * weight;
}

void backend_table::record_slowness(const service_id& service, backend_state& backend, double slowness,
                                    duration took, time_point now) {
  const auto found = this->services.find(service);
  if (found == this->services.end()) {
    return;
  }
  auto& mean = found->second.mean_slowness;
  if (!backend.recovery().is_active()) {
    mean += (slowness - mean) * impl::slot_time_ewma_weight;
    return;
  }
  // While all servers are slow, a recovering one is not held back for it.
  if (const auto finished = backend.on_recovery_answer(slowness / std::max(mean, 1.0), took, now)) {
    this->recovery_times.push_back(*finished);
  }
}

void backend_table::record_send(const placement_decision& decision, const service_id& service,
                                std::optional<std::uint64_t> object, time_point now) {
  auto& target = *decision.target;
  target.on_sent(now);
  if (!object) {
    return;
  }
  const bool loads = decision.expected_warmth != warmth::known;
  if (loads) {
    target.objects.start_loading(*object, this->settings_of(service).remembered_objects,
                                 now + decision.expected_load_time);
  }
  if (target.objects.claim_notice(*object, loads ? duration{0} : impl::holder_notice_period, now)) {
    this->outgoing_notices.push_back(
        {*object, target.hash(), loads ? decision.expected_load_time : duration{0}});
  }
}

void backend_table::record_attempt(const attempt_report& attempt, time_point now) {
  auto& target = *attempt.decision.target;
  const auto expected_warmth = attempt.decision.expected_warmth;
  auto& estimate = this->estimate(attempt.matched_route, attempt.service);
  const auto work_ms =
      static_cast<double>(std::max<std::int64_t>((attempt.took - this->round_trip(target)).ms, 1));
  // The decision assumed a mean of warm and cold where it did not know which; the response shows which it
  // was.
  // Where the server reports its pace, estimates are of work on a usual server. Otherwise the pace would
  // count in the estimate and again as the server's slowness.
  const double usual_ms = work_ms / target.pace().factor(now, attempt.took).value_or(1);
  const double correction_ms =
      estimate.typical_ms(expected_warmth, usual_ms) - estimate.expected_ms(expected_warmth);
  const duration expected{attempt.decision.expected_total.ms + static_cast<std::int64_t>(correction_ms)};
  target.on_ended(attempt.outcome, attempt.took, expected, now);
  if (attempt.outcome != backend_outcome::responded) {
    if (attempt.object && expected_warmth != warmth::known) {
      target.objects.erase(*attempt.object);
    }
    return;
  }
  const double typical_ms = std::max(estimate.typical_ms(expected_warmth, work_ms), 1.0);
  this->record_slowness(attempt.service, target, work_ms / typical_ms, attempt.took, now);
  estimate.record_response_size(attempt.response_kib);
  if (attempt.decision.load < target.declared().slots && !target.is_cold(now)) {
    if (estimate.is_typical_known(expected_warmth, usual_ms)) {
      target.on_work_ratio(work_ms / estimate.typical_ms(expected_warmth, usual_ms), attempt.took, now);
    }
    estimate.record_work_time(expected_warmth, usual_ms);
    this->record_service_time(attempt.service, usual_ms);
  }
  if (attempt.object) {
    target.objects.touch(*attempt.object, this->settings_of(attempt.service).remembered_objects);
  }
}

std::vector<holder_notice> backend_table::take_notices() {
  return std::exchange(this->outgoing_notices, {});
}

void backend_table::apply_notices(const std::vector<holder_notice>& notices, time_point now) {
  for (const auto& notice : notices) {
    const auto found = this->backends_by_hash.find(notice.backend);
    if (found == this->backends_by_hash.end()) {
      continue;
    }
    auto& backend = *found->second;
    const auto capacity = this->settings_of(backend.declared().service).remembered_objects;
    if (notice.loads_for > duration{0}) {
      backend.objects.start_loading(notice.object, capacity, now + notice.loads_for);
      backend.on_peer_load(now + notice.loads_for, now);
    } else {
      backend.objects.touch(notice.object, capacity);
    }
    static_cast<void>(backend.objects.claim_notice(notice.object, duration{0}, now));
  }
}

}  // namespace zinnia
