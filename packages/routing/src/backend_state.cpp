// Load estimates, health averages and suspension of one backend server.
#include "zinnia/routing/backend_state.hpp"

#include <algorithm>
#include <cmath>

#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Decay time from the last reported load of other nodes to their average; about the length of one request.
constexpr double report_decay_ms = 100;
/// Decay time of that average while no reports arrive.
constexpr double average_decay_ms = 2000;
/// Weight of the newest report in the moving average.
constexpr double report_ewma_weight = 0.15;
/// Decay time of the health averages. A few seconds, so that a server that was avoided is tried again.
constexpr double health_decay_ms = 4000;
/// Weight of the newest outcome in the failure and slowness averages.
constexpr double outcome_ewma_weight = 0.2;
constexpr double min_slowness = 0.5;
constexpr double max_slowness = 20;
/// Consecutive requests without a response after which a server is suspended.
constexpr int no_responses_before_suspension = 3;
/// First and maximum pause between health checks of a suspended server.
constexpr duration initial_check_pause{250};
constexpr duration max_check_pause{2000};
/// Weight of a shed request in the failure ratio; a failed one counts 1.
constexpr double shed_failure_weight = 0.5;
constexpr duration one_second{1000};
/// Part of a server's busy time, and the longest time, over which nodes return to it.
constexpr std::int64_t busy_spread_divisor = 10;
constexpr std::int64_t max_busy_spread_ms = 1000;

[[nodiscard]] double failure_weight(backend_outcome outcome) noexcept {
  switch (outcome) {
    case backend_outcome::responded:
      return 0;
    case backend_outcome::shed:
      return shed_failure_weight;
    default:
      return 1;
  }
}

}  // namespace
}  // namespace impl

backend_state::backend_state(backend_declaration declaration_in)
    : declaration{std::move(declaration_in)},
      id_hash{stable_hash(this->declaration.id.str())},
      check_pause{impl::initial_check_pause},
      cold_until{this->declaration.cold_until} {}

void backend_state::update_declaration(const backend_declaration& declaration_in) {
  const bool restarted = declaration_in.started_unix_ms != this->declaration.started_unix_ms &&
                         this->declaration.started_unix_ms != 0;
  if (restarted) {
    this->objects.clear();
    this->peer_loads.clear();
    this->other_nodes_load = 0;
    this->other_nodes_load_average = 0;
    this->failure_average = 0;
    this->slowness_average = 1;
    this->robust_average = {};
    this->work_pace = {};
    this->rate_share.reset();
    this->leaving = false;
    this->busy_until = {};
    this->returns_from_busy = false;
  }
  this->declaration = declaration_in;
  this->cold_until = std::max(this->cold_until, declaration_in.cold_until);
}

void backend_state::on_sent(time_point now) {
  ++this->own_in_flight;
  this->rate_share.on_sent(now);
  if (this->is_cold(now)) {
    this->cold_sends.push_back(now);
  }
  while (!this->cold_sends.empty() && now - this->cold_sends.front() >= impl::one_second) {
    this->cold_sends.pop_front();
  }
}

void backend_state::on_report(const load_report& report, time_point now) {
  this->other_nodes_load = std::max(0, report.running + report.waiting - this->own_in_flight);
  this->other_nodes_load_average +=
      (this->other_nodes_load - this->other_nodes_load_average) * impl::report_ewma_weight;
  this->last_report_at = now;
  this->work_pace.on_report(report.work_percent, now);
  this->peer_loads.clear();
  if (report.slots > 0) {
    this->declaration.slots = report.slots;
  }
}

void backend_state::on_statement(const backend_statement& statement, time_point now) {
  if (statement.load) {
    this->on_report(*statement.load, now);
  }
  if (statement.rate_limit) {
    this->rate_share.on_limit(*statement.rate_limit, now);
  } else if (statement.names_no_rate_limit) {
    const bool was_limited = this->rate_limit().has_value();
    this->rate_share.on_no_limit(now);
    if (was_limited && !this->rate_limit()) {
      this->begin_recovery(now);
    }
  }
  this->leaving = this->leaving || statement.is_leaving;
  if (statement.busy_for) {
    // Nodes return at different times, up to a tenth of the busy time later.
    const auto spread =
        std::min(statement.busy_for->ms / impl::busy_spread_divisor, impl::max_busy_spread_ms);
    const auto delay_ms =
        static_cast<std::int64_t>(this->node_phase % static_cast<std::uint64_t>(spread + 1));
    this->busy_until = std::max(this->busy_until, now + *statement.busy_for + duration{delay_ms});
    this->returns_from_busy = true;
    this->begin_recovery(this->busy_until);
  }
}

void backend_state::set_standing(const node_standing& standing, time_point now) noexcept {
  this->node_phase = standing.phase;
  this->recovery_spread = recovery_spread_for(standing);
  this->rate_share.set_standing(standing, now);
}

void backend_state::on_peer_load(time_point loaded_at, time_point now) {
  std::erase_if(this->peer_loads, [now](time_point ends) { return ends <= now; });
  this->peer_loads.push_back(loaded_at);
}

double backend_state::load(time_point now) const noexcept {
  const auto loading = std::count_if(this->peer_loads.begin(), this->peer_loads.end(),
                                     [now](time_point ends) { return ends > now; });
  const auto age = static_cast<double>((now - this->last_report_at).ms);
  const double average = this->other_nodes_load_average * std::exp(-age / impl::average_decay_ms);
  return static_cast<double>(this->own_in_flight + loading) + average +
         (this->other_nodes_load - average) * std::exp(-age / impl::report_decay_ms);
}

double backend_state::decayed(double value, double neutral, time_point since, time_point now) const noexcept {
  const auto age = static_cast<double>((now - since).ms);
  return neutral + (value - neutral) * std::exp(-age / impl::health_decay_ms);
}

double backend_state::failure_ratio(time_point now) const noexcept {
  return this->decayed(this->failure_average, 0, this->last_outcome_at, now);
}

double backend_state::slowness(time_point now, duration horizon) const noexcept {
  const auto reported = this->work_pace.factor(now, horizon);
  return reported ? *reported : this->learned_slowness(now);
}

double backend_state::learned_slowness(time_point now) const noexcept {
  return this->decayed(this->slowness_average, 1, this->last_outcome_at, now);
}

void backend_state::on_ended(backend_outcome outcome, duration took, duration expected, time_point now) {
  --this->own_in_flight;
  if (outcome == backend_outcome::no_response || outcome == backend_outcome::unreachable) {
    this->note_failure(now);
  } else {
    this->failing_since = far_future;
  }
  const double failure = impl::failure_weight(outcome);
  const double previous_slowness = this->learned_slowness(now);
  this->failure_average =
      this->failure_ratio(now) * (1 - impl::outcome_ewma_weight) + failure * impl::outcome_ewma_weight;
  this->slowness_average = previous_slowness;
  if (outcome == backend_outcome::responded) {
    const double ratio =
        static_cast<double>(took.ms) / static_cast<double>(std::max<std::int64_t>(expected.ms, 1));
    const double bounded = std::clamp(ratio, impl::min_slowness, impl::max_slowness);
    const bool is_robust = this->asks_for_robust_slowness || this->work_pace.age(now).has_value();
    this->slowness_average =
        is_robust ? this->robust_average.next(previous_slowness, bounded)
                  : previous_slowness * (1 - impl::outcome_ewma_weight) + bounded * impl::outcome_ewma_weight;
    this->consecutive_no_responses = 0;
  }
  this->last_outcome_at = now;
  if (outcome != backend_outcome::responded) {
    this->recovery_limit.on_failure(took, now);
  }
  const bool was_answered = outcome == backend_outcome::responded || outcome == backend_outcome::bad_response;
  if (was_answered && !this->is_busy(now)) {
    this->returns_from_busy = false;
  }
  if (outcome == backend_outcome::no_response &&
      ++this->consecutive_no_responses >= impl::no_responses_before_suspension) {
    this->suspend_for_failure(now);
  }
  if (outcome == backend_outcome::unreachable || outcome == backend_outcome::replaced) {
    this->suspend_for_failure(now);
  }
}

void backend_state::suspend(duration pause, time_point now) noexcept {
  if (this->is_suspended()) {
    return;
  }
  this->availability = backend_availability::suspended;
  this->check_pause = impl::initial_check_pause;
  this->next_check_at = now + pause;
}

void backend_state::note_failure(time_point now) noexcept {
  if (this->failing_since == far_future) {
    this->failing_since = now;
    this->failure_average_before = this->failure_ratio(now);
  }
}

void backend_state::suspend_for_failure(time_point now) noexcept {
  if (!this->is_suspended()) {
    this->suspended_for_failure_at = now;
  }
  this->suspend(impl::initial_check_pause, now);
}

void backend_state::forgive_failures(time_point since) noexcept {
  if (this->failing_since != far_future && this->failing_since >= since) {
    this->failing_since = far_future;
    this->failure_average = this->failure_average_before;
    this->consecutive_no_responses = 0;
  }
  if (this->suspended_for_failure_at != far_future && this->suspended_for_failure_at >= since) {
    this->suspended_for_failure_at = far_future;
    this->availability = backend_availability::available;
  }
}

void backend_state::suspend_until_checked(time_point now) noexcept {
  this->note_failure(now);
  this->suspend_for_failure(now);
}

void backend_state::on_health_check(bool healthy, duration cold_remaining, time_point now) {
  this->health_check_running = false;
  if (!healthy) {
    this->check_pause = std::min(this->check_pause * 2, impl::max_check_pause);
    this->next_check_at = now + this->check_pause;
    return;
  }
  if (this->is_suspended()) {
    this->begin_recovery(now);
    this->availability = backend_availability::available;
    this->suspended_for_failure_at = far_future;
    this->failing_since = far_future;
    this->consecutive_no_responses = 0;
  }
  this->cold_until = std::max(this->cold_until, now + cold_remaining);
}

bool backend_state::within_cold_rate(double rate, time_point now) const noexcept {
  const auto recent = std::count_if(this->cold_sends.begin(), this->cold_sends.end(),
                                    [now](time_point sent) { return now - sent < impl::one_second; });
  return static_cast<double>(recent) + 1 <= rate;
}

}  // namespace zinnia
