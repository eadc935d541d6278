// Keeps quarantined requests in the platform's store, for the case that all nodes forget them at once.
#pragma once

#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/observe/metrics.hpp"
#include "zinnia/routing/crash_report.hpp"
#include "zinnia/store/async_http_client.hpp"
#include "zinnia/store/store_protocol.hpp"

namespace zinnia {

/// \brief   Reads all objects once, soon after the start, and writes what this node has found out itself.
/// \details There is no watch: nodes that run tell each other. Writes wait for each other, so that many at
///          once do not use up the store's rate; beyond a limit they are dropped and logged. A call that
///          fails is repeated after a pause a few times.
class quarantine_store {
 public:
  using report_handler = std::function<void(const std::vector<crash_report>&)>;

  quarantine_store(async_http_client& calls_in, const store_protocol& protocol_in, metrics& counts_in,
                   report_handler on_read_in)
      : calls{calls_in}, protocol{protocol_in}, counts{counts_in}, on_read{std::move(on_read_in)} {}

  /// \brief Stores a quarantined request, or removes one that was answered (level 0). Any thread.
  void save(const crash_report& report);
  /// \brief Starts the next call if it is due. Control thread.
  void issue_calls(time_point now);

 private:
  struct pending_write {
    crash_report report;
    time_point queued_at;
    int attempts{0};
  };

  void read_all();
  void on_read_response(const http_response& response);
  void write(const pending_write& pending, time_point now);
  void on_written(pending_write written, const http_response& response);

  async_http_client& calls;
  const store_protocol& protocol;
  metrics& counts;
  report_handler on_read;
  boot_clock clock;
  bool has_read{false};
  int failed_reads{0};
  // The page to be read next.
  feed_call page;
  bool call_active{false};
  time_point next_call_at;
  absl::Mutex mutex;
  std::deque<pending_write> waiting ABSL_GUARDED_BY(mutex);
};

}  // namespace zinnia
