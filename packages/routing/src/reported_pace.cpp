// Decay of reported work figures, and their comparison with the times of answers.
#include "zinnia/routing/reported_pace.hpp"

#include <algorithm>
#include <cmath>

namespace zinnia {
namespace impl {
namespace {

constexpr double percent = 100;
/// Smaller figures count as this one. A server with a very small figure would otherwise attract all requests.
constexpr double min_work_percent = 50;
/// Decay time from the last figure to the mean. Servers share machines, whose speed changes several times a
/// second.
constexpr double figure_decay_ms = 200;
/// Number of figures or answers after which a mean becomes an exponential moving average.
constexpr int mean_samples = 20;
/// Consecutive load reports without a valid figure after which the server counts as one that sends none. One
/// invalid figure among valid ones changes nothing.
constexpr int reports_without_before_unused = 3;
/// Answers before the figures are judged.
constexpr int min_answers = 20;
/// Mean errors are absolute logarithms of the ratio of actual to predicted time. Work that varies and has a
/// long tail lies below its mean most of the time, by up to 0.2, which only the prediction without figures
/// adjusts to.
constexpr double distrust_margin = 0.25;
/// Smaller than the other margin, so that the verdict does not alternate.
constexpr double trust_margin = 0.1;
/// Bound of the logarithm of one answer's ratio, a factor of 7.4: one long answer must not decide.
constexpr double max_log_ratio = 2;

[[nodiscard]] double mean_weight(int samples) noexcept {
  return 1.0 / std::min(samples, mean_samples);
}

}  // namespace
}  // namespace impl

void reported_pace::on_report(std::optional<double> work_percent, time_point now) noexcept {
  if (!work_percent) {
    this->reports_without = std::min(this->reports_without + 1, impl::reports_without_before_unused);
    return;
  }
  this->reports_without = 0;
  this->last = std::max(*work_percent, impl::min_work_percent) / impl::percent;
  this->last_at = now;
  this->figures = std::min(this->figures + 1, impl::mean_samples);
  this->mean += (this->last - this->mean) * impl::mean_weight(this->figures);
}

double reported_pace::estimate(time_point now, duration horizon) const noexcept {
  const auto age_ms = static_cast<double>(std::max<std::int64_t>((now - this->last_at).ms, 0));
  const double difference = (this->last - this->mean) * std::exp(-age_ms / impl::figure_decay_ms);
  if (horizon <= duration{0}) {
    return this->mean + difference;
  }
  // The mean of the decaying difference over the horizon.
  const double decays = static_cast<double>(horizon.ms) / impl::figure_decay_ms;
  return this->mean + difference * (1 - std::exp(-decays)) / decays;
}

void reported_pace::on_answer(double ratio, duration took, time_point now) noexcept {
  if (this->figures == 0) {
    return;
  }
  const double log_ratio =
      std::clamp(std::log(std::max(ratio, 0.001)), -impl::max_log_ratio, impl::max_log_ratio);
  this->answers = std::min(this->answers + 1, impl::mean_samples);
  const double weight = impl::mean_weight(this->answers);
  // The figure came with the answer, so it describes the end of the work; looking back over the work's time
  // is like looking ahead.
  const double with = std::abs(log_ratio - std::log(this->estimate(now, took)));
  const double without = std::abs(log_ratio - this->mean_log_ratio);
  this->error_with += (with - this->error_with) * weight;
  this->error_without += (without - this->error_without) * weight;
  this->mean_log_ratio += (log_ratio - this->mean_log_ratio) * weight;
  if (this->answers >= impl::min_answers) {
    const double margin = this->trusted ? impl::distrust_margin : impl::trust_margin;
    this->trusted = this->error_with <= this->error_without + margin;
  }
}

std::optional<double> reported_pace::factor(time_point now, duration horizon) const noexcept {
  const bool is_reported = this->figures > 0 && this->reports_without < impl::reports_without_before_unused;
  return is_reported && this->trusted ? std::optional{this->estimate(now, horizon)} : std::nullopt;
}

std::optional<duration> reported_pace::age(time_point now) const noexcept {
  return this->figures > 0 ? std::optional{now - this->last_at} : std::nullopt;
}

}  // namespace zinnia
