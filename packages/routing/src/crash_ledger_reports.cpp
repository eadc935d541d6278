// What nodes tell each other and the store about suspected requests.
#include <algorithm>

#include "zinnia/routing/crash_ledger.hpp"

namespace zinnia {
namespace impl {
namespace {

/// How long a report is repeated while it does not quarantine a request.
constexpr duration repetition_time{5000};
constexpr duration repetition_period{1000};
constexpr duration one_second{1000};
/// Reports of other nodes' first crashes that are forwarded in a second. Most concern bystanders, and a
/// failure domain that loses power has thousands of them.
constexpr int max_forwarded_per_second = 30;
/// Reports that may wait to be sent.
constexpr std::size_t max_outgoing = 300;

}  // namespace
}  // namespace impl

crash_report crash_ledger::make_report(request_fingerprint request, const record& known,
                                       time_point now) noexcept {
  return {request, known.backend, known.level, known.crashes, now - known.at, now - known.first_at};
}

void crash_ledger::report_to_others(request_fingerprint request, time_point now) {
  const auto found = this->records.find(request.count());
  if (found == this->records.end() || (found->second.level == 0 && !found->second.answered)) {
    return;
  }
  if (this->outgoing.size() < impl::max_outgoing || found->second.level >= quarantine_level) {
    this->outgoing.push_back(make_report(request, found->second, now));
  }
}

bool crash_ledger::may_forward(int level_reported, time_point now) {
  if (level_reported > 1) {
    return true;
  }
  if (now - this->forwarding_since >= impl::one_second) {
    this->forwarding_since = now;
    this->forwarded_in_second = 0;
  }
  return ++this->forwarded_in_second <= impl::max_forwarded_per_second;
}

void crash_ledger::apply(const crash_report& report, time_point now) {
  if (report.level == 0) {
    const int previous = this->level(report.request, this->longest_term, now);
    if (this->clear(report.request, now - report.age) && this->may_forward(previous, now)) {
      this->report_to_others(report.request, now);
    }
  } else if (this->was_answered_since(report.request, now - report.first_age - report_delay)) {
    this->object(report.request, now);
  } else if (this->raise(report, now) && this->may_forward(report.level, now)) {
    this->report_to_others(report.request, now);
  }
}

void crash_ledger::object(request_fingerprint request, time_point now) {
  const auto& latest = this->answers[request.count() % answer_slots];
  if (latest.request == request && latest.at > time_point{}) {
    auto& known = this->find_or_add(request, now);
    if (!known.answered || known.at < latest.at) {
      known = {0, true, 0, latest.at, latest.at, 0, {}, known.released};
    }
  }
  if (this->may_forward(0, now)) {
    this->report_to_others(request, now);
  }
}

std::vector<crash_report> crash_ledger::reports_to_repeat(std::size_t max_count, time_point now) {
  if (this->records.empty() || now < this->next_repetition_at) {
    return {};
  }
  this->next_repetition_at = now + impl::repetition_period;
  absl::erase_if(this->records,
                 [&](const auto& each) { return now - each.second.at >= this->longest_term * 2; });
  std::vector<crash_report> reports;
  for (const auto& [request, known] : this->records) {
    const bool is_recent = (known.level > 0 || known.answered) && now - known.at < impl::repetition_time;
    if (is_recent || level_of(known, this->longest_term, now) >= quarantine_level) {
      reports.push_back(make_report(request_fingerprint{request}, known, now));
    }
  }
  // Each time those that follow the last one repeated, so that all have their turn.
  const auto distance = [this](const crash_report& each) {
    return each.request.count() - this->repeated_last - 1;
  };
  std::sort(reports.begin(), reports.end(),
            [&](const auto& a, const auto& b) { return distance(a) < distance(b); });
  reports.resize(std::min(reports.size(), max_count));
  if (!reports.empty()) {
    this->repeated_last = reports.back().request.count();
  }
  return reports;
}

std::vector<crash_report> crash_ledger::quarantine_states(time_point now) const {
  std::vector<crash_report> states;
  for (const auto& [fingerprint, known] : this->records) {
    const request_fingerprint request{fingerprint};
    if (level_of(known, this->longest_term, now) >= quarantine_level) {
      states.push_back(make_report(request, known, now));
    } else if (known.released) {
      states.push_back({request});
    }
  }
  return states;
}

}  // namespace zinnia
