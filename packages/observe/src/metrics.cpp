// Records times in histograms and renders all metrics.
#include "zinnia/observe/metrics.hpp"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace zinnia {
namespace impl {
namespace {

constexpr unsigned bucket_count = 24;
constexpr double min_bucket_ms = 0.5;
constexpr double max_bucket_ms = 60'000;

constexpr std::array<std::string_view, static_cast<std::size_t>(counter::count)> counter_names{
    "requests",           "lookups",
    "caller_closed",      "malformed_frames",
    "store_calls",        "store_failures",
    "settings_rejected",  "answer_bytes",
    "limited_sends",      "services_without_backend",
    "backend_crashes",    "requests_quarantined",
    "links_lost",         "requests_forwarded",
    "forwarded_received", "forwarded_refused",
    "unauthorized",       "retries_over_budget"};
static_assert(!counter_names.back().empty(), "every counter has a name");

constexpr std::array<std::string_view, static_cast<std::size_t>(timing::count)> timing_names{
    "request", "queue_wait", "backend"};

template <std::size_t Size>
void render_by_reason(std::ostringstream& out, const std::string& name,
                      const std::array<std::atomic<std::uint64_t>, Size>& values) {
  out << "# TYPE " << name << " counter\n";
  for (std::size_t i = 1; i < values.size(); ++i) {
    out << name << "{reason=\"" << to_string(static_cast<reason>(i)) << "\"} " << values.at(i).load() << '\n';
  }
}

}  // namespace
}  // namespace impl

std::string label(std::string_view name, std::string_view value) {
  std::string text{name};
  text += "=\"";
  for (const char character : value) {
    if (character == '\n') {
      text += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      text += '\\';
    }
    text += character;
  }
  text += '"';
  return text;
}

metrics::metrics() {
  for (std::size_t i = 0; i < impl::timing_names.size(); ++i) {
    this->timings.push_back(
        {boost::histogram::make_histogram(axis(impl::bucket_count, impl::min_bucket_ms, impl::max_bucket_ms)),
         0});
  }
}

void metrics::record(timing which, duration elapsed) {
  const absl::MutexLock lock{&this->mutex};
  auto& entry = this->timings.at(static_cast<std::size_t>(which));
  entry.buckets(std::max(static_cast<double>(elapsed.ms), impl::min_bucket_ms));
  entry.sum_ms += static_cast<double>(elapsed.ms);
}

std::uint64_t metrics::value(counter which) const noexcept {
  return this->counters.at(static_cast<std::size_t>(which)).load();
}

std::uint64_t metrics::refusals_for(reason why) const noexcept {
  return this->refusals.at(static_cast<std::size_t>(why)).load();
}

std::uint64_t metrics::retries_for(reason why) const noexcept {
  return this->retries.at(static_cast<std::size_t>(why)).load();
}

std::string metrics::render(const std::vector<gauge>& gauges) {
  std::ostringstream out;
  for (std::size_t i = 0; i < impl::counter_names.size(); ++i) {
    const std::string name = "zinnia_" + std::string{impl::counter_names.at(i)} + "_total";
    out << "# TYPE " << name << " counter\n" << name << ' ' << this->counters.at(i).load() << '\n';
  }
  impl::render_by_reason(out, "zinnia_refusals_total", this->refusals);
  impl::render_by_reason(out, "zinnia_retries_total", this->retries);
  out << "# TYPE zinnia_verdicts_total counter\n";
  for (std::size_t i = 0; i < this->verdicts.size(); ++i) {
    out << "zinnia_verdicts_total{verdict=\"" << to_string(static_cast<verdict>(i)) << "\"} "
        << this->verdicts.at(i).load() << '\n';
  }
  const absl::MutexLock lock{&this->mutex};
  for (std::size_t i = 0; i < this->timings.size(); ++i) {
    const std::string name = "zinnia_" + std::string{impl::timing_names.at(i)} + "_ms";
    const auto& entry = this->timings.at(i);
    // Counts must be printed whole, which a stream does not do with large floating-point numbers.
    const auto count_in = [&entry](int bin) { return static_cast<std::uint64_t>(entry.buckets.at(bin)); };
    std::uint64_t count = count_in(-1);
    out << "# TYPE " << name << " histogram\n";
    for (int bin = 0; bin < entry.buckets.axis().size(); ++bin) {
      count += count_in(bin);
      out << name << "_bucket{le=\"" << entry.buckets.axis().bin(bin).upper() << "\"} " << count << '\n';
    }
    count += count_in(entry.buckets.axis().size());
    out << name << "_bucket{le=\"+Inf\"} " << count << '\n';
    out << name << "_sum " << std::llround(entry.sum_ms) << '\n' << name << "_count " << count << '\n';
  }
  for (const auto& sample : gauges) {
    const std::string labels = sample.labels.empty() ? "" : "{" + sample.labels + "}";
    out << sample.name << labels << " " << sample.value << '\n';
  }
  return out.str();
}

}  // namespace zinnia
