// One call at a time; objects that are too old are removed when they are read.
#include "quarantine_store.hpp"

#include <algorithm>

#include "zinnia/membership/quarantine_codec.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Pause between two calls.
constexpr duration call_pause{200};
/// Pause after a call that failed.
constexpr duration failure_pause{1000};
constexpr std::size_t max_waiting = 64;
constexpr int max_attempts = 10;
/// The longest quarantine that the settings tree allows; older objects are of no use.
constexpr duration max_age{86'400'000};
/// Objects that one node removes after it has read all, since all nodes that start see the same ones.
constexpr std::size_t max_removals = 8;

}  // namespace
}  // namespace impl

void quarantine_store::save(const crash_report& report) {
  const absl::MutexLock lock{&this->mutex};
  if (this->waiting.size() >= impl::max_waiting) {
    log_line{log_level::warn, "quarantine_not_stored"}.field("fingerprint", quarantine_name(report.request));
    return;
  }
  this->waiting.push_back({report, this->clock.now()});
}

void quarantine_store::issue_calls(time_point now) {
  if (this->call_active || now < this->next_call_at) {
    return;
  }
  if (!this->has_read) {
    this->read_all();
    return;
  }
  std::optional<pending_write> next;
  {
    const absl::MutexLock lock{&this->mutex};
    if (!this->waiting.empty()) {
      next = this->waiting.front();
      this->waiting.pop_front();
    }
  }
  if (next) {
    this->write(*next, now);
  }
}

void quarantine_store::read_all() {
  this->call_active = true;
  this->counts.add(counter::store_calls);
  this->calls.start(this->protocol.read_call(object_kinds::quarantines, this->page),
                    [this](const http_response& response) { this->on_read_response(response); });
}

void quarantine_store::on_read_response(const http_response& response) {
  this->call_active = false;
  const auto reply = this->protocol.decode_read(this->page, response);
  if (reply.status != feed_status::ok) {
    this->next_call_at = this->clock.now() + impl::failure_pause;
    this->has_read = ++this->failed_reads >= impl::max_attempts;
    if (this->has_read) {
      log_line{log_level::warn, "quarantines_unread"}
          .field("status", response.status)
          .field("cause", response.failure_reason);
    }
    return;
  }
  this->has_read = !reply.has_more || reply.items.empty();
  if (!this->has_read) {
    this->page.after_name = reply.items.back().name;
  }
  std::vector<crash_report> reports;
  std::size_t removals = 0;
  for (const auto& object : reply.items) {
    const auto report = decode_quarantine(object.name, object.document, unix_time_ms());
    if (!report) {
      log_line{log_level::warn, "quarantine_unreadable"}.field("cause", report.last_error().describe());
    } else if (report->age < impl::max_age) {
      reports.push_back(*report);
    } else if (removals++ < impl::max_removals) {
      this->save({report->request});
    }
  }
  log_line{log_level::info, "quarantines_read"}.field("count", static_cast<std::int64_t>(reports.size()));
  if (!reports.empty() && this->on_read) {
    this->on_read(reports);
  }
}

void quarantine_store::write(const pending_write& pending, time_point now) {
  auto report = pending.report;
  const auto waited = now - pending.queued_at;
  report.age = report.age + waited;
  report.first_age = report.first_age + waited;
  const auto name = quarantine_name(report.request);
  const auto call = report.level == 0
                        ? this->protocol.remove_call(object_kinds::quarantines, name, any_version)
                        : this->protocol.create_call(object_kinds::quarantines, name,
                                                     encode_quarantine(report, unix_time_ms()));
  this->call_active = true;
  this->counts.add(counter::store_calls);
  this->calls.start(call,
                    [this, pending](const http_response& response) { this->on_written(pending, response); });
}

void quarantine_store::on_written(pending_write written, const http_response& response) {
  this->call_active = false;
  const auto status = this->protocol.decode_write(response);
  const bool is_pending = status == write_status::unavailable || status == write_status::unknown;
  this->next_call_at = this->clock.now() + (is_pending ? impl::failure_pause : impl::call_pause);
  if (is_pending && ++written.attempts < impl::max_attempts) {
    const absl::MutexLock lock{&this->mutex};
    this->waiting.push_front(written);
    return;
  }
  // A conflict: another node has stored the request; not found: another node has removed it.
  log_line{is_pending ? log_level::warn : log_level::info, "store_written"}
      .field("purpose", written.report.level == 0 ? "release" : "quarantine")
      .field("fingerprint", quarantine_name(written.report.request))
      .field("status", response.status)
      .field("cause", response.failure_reason);
}

}  // namespace zinnia
