// Counters and histograms of a process, in the Prometheus text format.
#pragma once

#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/reason.hpp"
#include "zinnia/core/verdict.hpp"

namespace zinnia {

/// \brief Counters other than those of refusals, retries and verdicts.
enum class counter : unsigned char {
  requests,
  lookups,
  caller_closed,
  malformed_frames,
  store_calls,
  store_failures,
  settings_rejected,
  /// Bytes of response bodies that backend servers sent.
  answer_bytes,
  /// Requests sent to backend servers that had named a rate limit.
  limited_sends,
  /// How often a server's own statement took the last server of a service out of use.
  services_without_backend,
  /// Backend servers that were found to have crashed while they had requests of this node.
  backend_crashes,
  /// Requests that were quarantined because they crash backend servers, also by the reports of other nodes.
  requests_quarantined,
  /// How often this node has lost its links to all backend servers.
  links_lost,
  /// Requests that were handed to another node because this one had lost its links to the backend servers.
  requests_forwarded,
  /// Requests that other nodes handed to this one, those refused included.
  forwarded_received,
  /// Requests of other nodes that were refused on arrival, for instance for lack of room or of links.
  forwarded_refused,
  /// Requests answered 401 because their key is missing or unknown.
  unauthorized,
  /// Retries that were not made because the retry budget was used up.
  retries_over_budget,
  count,
};

/// \brief Durations that are recorded in histograms.
enum class timing : unsigned char { request, queue_wait, backend, count };

/// \brief A current value for `/metrics`, written as `name{labels} value`.
struct gauge {
  std::string name;
  std::string labels;
  std::int64_t value{0};
};

/// \brief Returns `name="value"` with the value escaped as the Prometheus text format requires.
[[nodiscard]] std::string label(std::string_view name, std::string_view value);

/// \brief All counters and histograms. Thread-safe.
class metrics {
 public:
  metrics();

  void add(counter which, std::uint64_t amount = 1) noexcept {
    this->counters.at(static_cast<std::size_t>(which)).fetch_add(amount);
  }
  void record_refusal(reason why) noexcept { this->refusals.at(static_cast<std::size_t>(why)).fetch_add(1); }
  void record_retry(reason why) noexcept { this->retries.at(static_cast<std::size_t>(why)).fetch_add(1); }
  void record_verdict(verdict outcome) noexcept {
    this->verdicts.at(static_cast<std::size_t>(outcome)).fetch_add(1);
  }
  void record(timing which, duration elapsed);

  [[nodiscard]] std::uint64_t value(counter which) const noexcept;
  [[nodiscard]] std::uint64_t refusals_for(reason why) const noexcept;
  [[nodiscard]] std::uint64_t retries_for(reason why) const noexcept;
  /// \brief Returns all counters, the histograms and the given gauges in the Prometheus text format.
  [[nodiscard]] std::string render(const std::vector<gauge>& gauges);

 private:
  using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using histogram = decltype(boost::histogram::make_histogram(std::declval<axis>()));
  struct timing_histogram {
    histogram buckets;
    double sum_ms{0};
  };

  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(counter::count)> counters{};
  std::array<std::atomic<std::uint64_t>, reason_count> refusals{};
  std::array<std::atomic<std::uint64_t>, reason_count> retries{};
  std::array<std::atomic<std::uint64_t>, 3> verdicts{};
  absl::Mutex mutex;
  std::vector<timing_histogram> timings;
};

}  // namespace zinnia
