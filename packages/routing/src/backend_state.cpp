// Bookkeeping of one backend server.
#include "zinnia/routing/backend_state.hpp"

#include <algorithm>
#include <cmath>

#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Time in which a report of other nodes' load gives way to their average; about one request's length.
constexpr double report_fade_ms = 100;
/// Time in which the average itself fades while no report comes.
constexpr double average_fade_ms = 2000;
/// Weight of the newest report in the average.
constexpr double newest_report_weight = 0.15;
/// Time in which judgements of health fade; a few seconds, so that a server is tried again.
constexpr double health_fade_ms = 4000;
/// Weight of the newest outcome in the running averages.
constexpr double newest_weight = 0.2;
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 20;
/// Losses in a row after which a server is checked before it is used again.
constexpr int losses_to_suspend = 3;
/// First and longest pause between health checks of a suspended server.
constexpr duration first_check_pause{250};
constexpr duration longest_check_pause{2000};
/// Part of a lost or shed request in the failure ratio.
constexpr double shed_weight = 0.5;
constexpr duration one_second{1000};

[[nodiscard]] double failure_weight(backend_outcome outcome) noexcept {
  switch (outcome) {
    case backend_outcome::responded:
      return 0;
    case backend_outcome::shed:
      return shed_weight;
    default:
      return 1;
  }
}

}  // namespace
}  // namespace impl

backend_state::backend_state(backend_declaration declaration_in)
    : declaration{std::move(declaration_in)},
      id_hash{stable_hash(this->declaration.id.str())},
      next_pause{impl::first_check_pause},
      cold_until{this->declaration.cold_until} {}

void backend_state::update_declaration(const backend_declaration& declaration_in) {
  const bool restarted = declaration_in.started_unix_ms != this->declaration.started_unix_ms &&
                         this->declaration.started_unix_ms != 0;
  if (restarted) {
    this->objects.clear();
    this->others_reported = 0;
    this->others_average = 0;
    this->failures = 0;
    this->slow_factor = 1;
  }
  this->declaration = declaration_in;
  this->cold_until = std::max(this->cold_until, declaration_in.cold_until);
}

void backend_state::on_sent(time_point now) {
  ++this->own_in_flight;
  if (this->is_cold(now)) {
    this->cold_sends.push_back(now);
  }
  while (!this->cold_sends.empty() && now - this->cold_sends.front() >= impl::one_second) {
    this->cold_sends.pop_front();
  }
}

void backend_state::on_report(const load_report& report, time_point now) {
  this->others_reported = std::max(0, report.running + report.waiting - this->own_in_flight);
  this->others_average += (this->others_reported - this->others_average) * impl::newest_report_weight;
  this->reported_at = now;
  if (report.slots > 0) {
    this->declaration.slots = report.slots;
  }
}

double backend_state::load(time_point now) const noexcept {
  const auto age = static_cast<double>((now - this->reported_at).ms);
  const double average = this->others_average * std::exp(-age / impl::average_fade_ms);
  return this->own_in_flight + average +
         (this->others_reported - average) * std::exp(-age / impl::report_fade_ms);
}

double backend_state::faded(double value, double neutral, time_point since, time_point now) const noexcept {
  const auto age = static_cast<double>((now - since).ms);
  return neutral + (value - neutral) * std::exp(-age / impl::health_fade_ms);
}

double backend_state::failure_ratio(time_point now) const noexcept {
  return this->faded(this->failures, 0, this->judged_at, now);
}

double backend_state::slowness(time_point now) const noexcept {
  return this->faded(this->slow_factor, 1, this->judged_at, now);
}

void backend_state::on_ended(backend_outcome outcome, duration took, duration expected, time_point now) {
  --this->own_in_flight;
  const double failed = impl::failure_weight(outcome);
  const double earlier_slowness = this->slowness(now);
  this->failures = this->failure_ratio(now) * (1 - impl::newest_weight) + failed * impl::newest_weight;
  this->slow_factor = earlier_slowness;
  if (outcome == backend_outcome::responded) {
    const double ratio =
        static_cast<double>(took.ms) / static_cast<double>(std::max<std::int64_t>(expected.ms, 1));
    const double bounded = std::clamp(ratio, impl::least_slowness, impl::most_slowness);
    this->slow_factor = earlier_slowness * (1 - impl::newest_weight) + bounded * impl::newest_weight;
    this->losses_in_a_row = 0;
  }
  this->judged_at = now;
  if (outcome == backend_outcome::no_response && ++this->losses_in_a_row >= impl::losses_to_suspend) {
    this->suspend(impl::first_check_pause, now);
  }
  if (outcome == backend_outcome::unreachable || outcome == backend_outcome::replaced) {
    this->suspend(impl::first_check_pause, now);
  }
}

void backend_state::suspend(duration pause, time_point now) noexcept {
  if (this->is_suspended()) {
    return;
  }
  this->availability = backend_availability::suspended;
  this->next_pause = impl::first_check_pause;
  this->check_at = now + pause;
}

void backend_state::on_health_check(bool healthy, duration cold_left, time_point now) {
  this->check_running = false;
  if (!healthy) {
    this->next_pause = std::min(this->next_pause * 2, impl::longest_check_pause);
    this->check_at = now + this->next_pause;
    return;
  }
  this->availability = backend_availability::available;
  this->losses_in_a_row = 0;
  this->cold_until = std::max(this->cold_until, now + cold_left);
}

bool backend_state::has_cold_room(double rate, time_point now) const noexcept {
  const auto recent = std::count_if(this->cold_sends.begin(), this->cold_sends.end(),
                                    [now](time_point sent) { return now - sent < impl::one_second; });
  return static_cast<double>(recent) + 1 <= rate;
}

}  // namespace zinnia
