// Records of suspected requests, and crashes that are not confirmed yet.
#include "zinnia/routing/crash_ledger.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

/// How long a lost request waits for the news that its server has crashed: a connection attempt and its
/// repetitions.
constexpr duration max_confirmation_time{2000};
/// Requests that one server may have lost in that time and that are remembered.
constexpr std::size_t max_lost_per_backend = 256;
/// How long a request that was lost while the links may have failed is kept after it was sent, and one given
/// up at a silent server after that. Longer than the links take to return with most cuts, and than a server
/// takes to start again.
constexpr duration max_holding_time{10'000};
/// Reports of the same server's crash that are this far apart concern the same crash. A server needs longer
/// to start again and get requests.
constexpr duration same_crash_tolerance{1000};
/// Servers that crash together, as in a failure domain that loses power, are all noticed within this time. A
/// request that was at several of them is not suspected more than one that was at one; a later crash tells.
constexpr duration separate_crashes{3000};
constexpr std::size_t max_crashes = 4096;

}  // namespace
}  // namespace impl

int crash_ledger::level_of(const record& known, duration term, time_point now) noexcept {
  const auto age = now - known.at;
  if (age < term) {
    return known.level;
  }
  return age < term * 2 && known.level >= quarantine_level ? quarantine_level - 1 : 0;
}

int crash_ledger::level(request_fingerprint request, duration term, time_point now) const noexcept {
  if (this->records.empty()) {
    return 0;
  }
  const auto found = this->records.find(request.count());
  return found == this->records.end() ? 0 : level_of(found->second, term, now);
}

duration crash_ledger::quarantine_left(request_fingerprint request, duration term,
                                       time_point now) const noexcept {
  if (this->level(request, term, now) < quarantine_level) {
    return {};
  }
  return this->records.find(request.count())->second.at + term - now;
}

void crash_ledger::on_lost(std::uint64_t backend, const lost_request& lost, time_point now) {
  if (const auto known = this->crashes.find(backend);
      known != this->crashes.end() && known->second.at >= lost.sent_at) {
    this->record_own_crash(lost, backend, known->second.at, now);
    return;
  }
  absl::erase_if(this->unconfirmed,
                 [&](const auto& each) { return !this->awaits_confirmation(each.first, now); });
  auto& waiting = this->unconfirmed[backend];
  if (waiting.size() < impl::max_lost_per_backend) {
    waiting.emplace_back(lost, now);
  }
}

void crash_ledger::keep(kept_requests& kept, std::uint64_t backend, const kept_request& added,
                        time_point now) {
  absl::erase_if(kept, [now](auto& each) {
    std::erase_if(each.second, [now](const auto& old) { return old.until <= now; });
    return each.second.empty();
  });
  auto& waiting = kept[backend];
  if (waiting.size() < impl::max_lost_per_backend) {
    waiting.push_back(added);
  }
}

void crash_ledger::hold(std::uint64_t backend, const lost_request& lost, time_point now) {
  keep(this->held, backend, {lost, lost.sent_at + impl::max_holding_time}, now);
}

void crash_ledger::on_given_up(std::uint64_t backend, const lost_request& lost, time_point now) {
  keep(this->given_up, backend, {lost, now + impl::max_holding_time}, now);
}

void crash_ledger::on_links_lost(time_point now) {
  for (const auto& [backend, waiting] : std::exchange(this->unconfirmed, {})) {
    for (const auto& [lost, noticed_at] : waiting) {
      this->hold(backend, lost, now);
    }
  }
  for (const auto& [backend, waiting] : std::exchange(this->given_up, {})) {
    for (const auto& each : waiting) {
      keep(this->held, backend, each, now);
    }
  }
}

std::vector<std::uint64_t> crash_ledger::on_links_regained(time_point now) {
  std::vector<std::uint64_t> to_check;
  for (const auto& [backend, waiting] : std::exchange(this->held, {})) {
    for (const auto& [lost, until] : waiting) {
      if (now < until) {
        this->on_lost(backend, lost, now);
      }
    }
    if (this->awaits_confirmation(backend, now)) {
      to_check.push_back(backend);
    }
  }
  return to_check;
}

void crash_ledger::record_own_crash(const lost_request& lost, std::uint64_t backend, time_point crashed_at,
                                    time_point now) {
  const auto age = now - crashed_at;
  const auto suspected_crashes = [&] {
    const auto found = this->records.find(lost.request.count());
    return found == this->records.end() || found->second.level == 0 ? 0 : found->second.crashes;
  };
  const int crashes_before = suspected_crashes();
  // An answer in the meantime has broken the succession.
  const int level_before = std::min(lost.level, this->level(lost.request, this->longest_term, now));
  const bool is_raised = this->raise({lost.request, backend, level_before + 1, 1, age, age}, now);
  // Other nodes need the count to tell the bystanders of the same crash.
  if (is_raised || suspected_crashes() > crashes_before) {
    this->report_to_others(lost.request, now);
  }
}

void crash_ledger::on_answered(request_fingerprint request, time_point now) {
  for (auto& [backend, waiting] : this->unconfirmed) {
    std::erase_if(waiting, [request](const auto& each) { return each.first.request == request; });
  }
  for (auto* const kept : {&this->held, &this->given_up}) {
    for (auto& [backend, waiting] : *kept) {
      std::erase_if(waiting, [request](const auto& each) { return each.lost.request == request; });
    }
  }
  this->answers[request.count() % answer_slots] = {request, now};
  if (this->clear(request, now)) {
    this->report_to_others(request, now);
  }
}

bool crash_ledger::clear(request_fingerprint request, time_point answered_at) {
  const auto found = this->records.find(request.count());
  if (found == this->records.end() || found->second.level == 0 ||
      found->second.first_at > answered_at + report_delay) {
    return false;
  }
  const bool was_quarantined = found->second.level >= quarantine_level;
  const bool was_released = found->second.released || was_quarantined;
  found->second = {0, true, 0, answered_at, answered_at, 0, {}, was_released};
  if (was_quarantined) {
    this->quarantine_changes.push_back({request});
  }
  return true;
}

bool crash_ledger::was_answered_since(request_fingerprint request, time_point since) const noexcept {
  const auto& latest = this->answers[request.count() % answer_slots];
  const auto found = this->records.find(request.count());
  return (latest.request == request && latest.at > time_point{} && latest.at >= since) ||
         (found != this->records.end() && found->second.answered && found->second.at >= since);
}

bool crash_ledger::awaits_confirmation(std::uint64_t backend, time_point now) const noexcept {
  const auto found = this->unconfirmed.find(backend);
  return found != this->unconfirmed.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [now](const auto& each) { return now - each.second < impl::max_confirmation_time; });
}

std::size_t crash_ledger::unconfirmed_count(time_point now) const noexcept {
  return static_cast<std::size_t>(
      std::count_if(this->unconfirmed.begin(), this->unconfirmed.end(),
                    [&](const auto& each) { return this->awaits_confirmation(each.first, now); }));
}

void crash_ledger::on_crashed(std::uint64_t backend, time_point now) {
  static_cast<void>(this->find_or_add_crash(backend, now, now));
  std::vector<lost_request> lost;
  if (this->awaits_confirmation(backend, now)) {
    const auto waiting = this->unconfirmed.extract(backend);
    for (const auto& [request, lost_at] : waiting.mapped()) {
      lost.push_back(request);
    }
  }
  if (const auto kept = this->given_up.extract(backend)) {
    for (const auto& [request, until] : kept.mapped()) {
      if (now < until) {
        lost.push_back(request);
      }
    }
  }
  for (const auto& request : lost) {
    this->record_own_crash(request, backend, now, now);
  }
}

crash_ledger::crash* crash_ledger::find_or_add_crash(std::uint64_t backend, time_point crashed_at,
                                                     time_point now) {
  const auto found = this->crashes.find(backend);
  if (found != this->crashes.end()) {
    const auto since_known = crashed_at - found->second.at;
    if (since_known >= impl::same_crash_tolerance) {
      found->second = {crashed_at, 0};
    }
    return since_known <= duration{0} - impl::same_crash_tolerance ? nullptr : &found->second;
  }
  if (this->crashes.size() >= impl::max_crashes) {
    absl::erase_if(this->crashes,
                   [now](const auto& each) { return now - each.second.at >= impl::max_confirmation_time; });
  }
  if (this->crashes.size() >= impl::max_crashes) {
    return nullptr;
  }
  return &this->crashes.emplace(backend, crash{crashed_at, 0}).first->second;
}

void crash_ledger::lower_bystanders(std::uint64_t backend, int most_crashes) {
  for (auto& [request, known] : this->records) {
    if (known.backend == backend && known.level > 0 && known.crashes < most_crashes) {
      if (known.level == quarantine_level) {
        this->quarantine_changes.push_back({request_fingerprint{request}});
        known.released = true;
      }
      --known.level;
      known.backend = 0;
    }
  }
}

void crash_ledger::count_crash(record& known, const crash_report& crashed) {
  if (std::find(known.backends.begin(), known.backends.end(), crashed.backend) == known.backends.end()) {
    known.backends[static_cast<std::size_t>(known.crashes) % remembered_backends] = crashed.backend;
    ++known.crashes;
  }
  known.crashes = std::max(known.crashes, crashed.crashes);
}

bool crash_ledger::raise(const crash_report& crashed, time_point now) {
  const auto judgement = this->judge(crashed, now);
  const auto known = this->records.find(crashed.request.count());
  const int crash_count = known == this->records.end() ? 0 : known->second.crashes;
  if (std::max(crash_count, crashed.crashes) > 1 && this->judgements.size() < max_judgements) {
    this->judgements.push_back({crashed, judgement});
    this->judgements.back().crash.crashes = crash_count;
  }
  return judgement == crash_judgement::raised;
}

crash_judgement crash_ledger::judge(const crash_report& crashed, time_point now) {
  const auto at = now - crashed.age;
  const auto first_at = now - crashed.first_age;
  if (this->longest_term <= duration{0} || this->was_answered_since(crashed.request, first_at)) {
    return crash_judgement::answered;
  }
  auto& known = this->find_or_add(crashed.request, now);
  const int current = level_of(known, this->longest_term, now);
  if (current == 0) {
    known.crashes = 0;
    known.backends = {};
  }
  count_crash(known, crashed);
  if (auto* const known_crash = this->find_or_add_crash(crashed.backend, at, now)) {
    if (known.crashes < known_crash->most_crashes) {
      return crash_judgement::bystander;
    }
    if (known.crashes > known_crash->most_crashes) {
      known_crash->most_crashes = known.crashes;
      this->lower_bystanders(crashed.backend, known.crashes);
    }
  }
  const auto known_since = current > 0 ? std::min(known.first_at, first_at) : first_at;
  const bool crashed_several_again = std::max(crashed.level, current) > 1 &&
                                     known.crashes >= quarantine_level &&
                                     at - known_since >= impl::separate_crashes;
  const int level = crashed_several_again ? quarantine_level : std::min(crashed.level, quarantine_level);
  // A later crash at the same level is not news: nodes would report their different last crashes to each
  // other for ever.
  if (level <= current) {
    return crash_judgement::not_higher;
  }
  known.first_at = known_since;
  known.level = level;
  known.answered = false;
  known.backend = crashed.backend;
  known.at = at;
  if (level == quarantine_level) {
    known.released = false;
    this->quarantine_changes.push_back(make_report(crashed.request, known, now));
  }
  return crash_judgement::raised;
}

crash_ledger::record& crash_ledger::find_or_add(request_fingerprint request, time_point now) {
  const auto found = this->records.find(request.count());
  if (found != this->records.end()) {
    return found->second;
  }
  if (this->records.size() >= max_requests) {
    const auto precedes = [&](const auto& a, const auto& b) {
      return std::pair{level_of(a.second, this->longest_term, now), a.second.at} <
             std::pair{level_of(b.second, this->longest_term, now), b.second.at};
    };
    this->records.erase(std::min_element(this->records.begin(), this->records.end(), precedes));
  }
  return this->records[request.count()];
}

std::size_t crash_ledger::count_from_level(int min_level, time_point now) const noexcept {
  return static_cast<std::size_t>(std::count_if(
      this->records.begin(), this->records.end(),
      [&](const auto& each) { return level_of(each.second, this->longest_term, now) >= min_level; }));
}

}  // namespace zinnia
