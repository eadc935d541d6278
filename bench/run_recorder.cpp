// Credit, latencies and shifts of a simulated run.
#include "run_recorder.hpp"

#include <algorithm>

namespace zinnia::bench {
namespace impl {
namespace {

/// Window over which `simulation_result::largest_shift` counts the regions of execution.
constexpr double shift_window_s = 2;

}  // namespace
}  // namespace impl

void run_recorder::on_arrival(const simulated_request& arrived) {
  const auto& kind = *arrived.kind;
  ++this->result.requests;
  this->result.max_credit += kind.worth;
  this->result.credit_by_class[kind.name].second += kind.worth;
  this->result.credit_by_domain[arrived.domain.str()].second += kind.worth;
}

void run_recorder::on_end(const simulated_request& ended, bool served, sim_time now) {
  if (!served || now > ended.deadline) {
    ++this->result.failed;
    return;
  }
  const auto& kind = *ended.kind;
  const double latency_ms = static_cast<double>(now - ended.created_at) / us_per_ms;
  const bool in_aim = latency_ms <= static_cast<double>(kind.aim_ms);
  const double credit = in_aim ? kind.worth : kind.late_worth;
  (in_aim ? this->result.in_aim : this->result.late) += 1;
  this->result.credit += credit;
  this->result.credit_by_class[kind.name].first += credit;
  this->result.credit_by_domain[ended.domain.str()].first += credit;
  this->result.latencies_ms.push_back(latency_ms);
}

void run_recorder::on_reached(const region_id& caller, const region_id& server, sim_time now) {
  const auto window = static_cast<std::int64_t>(static_cast<double>(now) / us_per_s / impl::shift_window_s);
  ++this->reached_by_region[caller.str()][window][server.str()];
}

void run_recorder::on_run(bool was_warm) noexcept {
  ++this->result.runs;
  this->result.warm_runs += was_warm ? 1 : 0;
}

void run_recorder::on_free_slots(double fraction) noexcept {
  this->result.free_slot_fraction += fraction;
  ++this->free_slot_samples;
}

simulation_result run_recorder::finish() {
  std::sort(this->result.latencies_ms.begin(), this->result.latencies_ms.end());
  this->result.free_slot_fraction /= std::max(this->free_slot_samples, 1);
  for (const auto& [from, windows] : this->reached_by_region) {
    const std::map<std::string, int>* before = nullptr;
    for (const auto& [window, counts] : windows) {
      if (before != nullptr) {
        this->result.largest_shift = std::max(this->result.largest_shift, moved_fraction(*before, counts));
      }
      before = &counts;
    }
  }
  return std::move(this->result);
}

}  // namespace zinnia::bench
