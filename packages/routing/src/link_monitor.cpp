// Evidence of lost links, rounds of checks, and the return to service.
#include "zinnia/routing/link_monitor.hpp"

#include <algorithm>
#include <array>
#include <set>
#include <tuple>

namespace zinnia {
namespace impl {
namespace {

/// Time without any response after which two silent servers are a reason to check others. Longer than most
/// requests take.
constexpr duration several_silent{300};
/// The same for a single server.
constexpr duration one_silent{700};
/// Servers that are evidence of lost links together.
constexpr std::size_t several = 2;
/// A check that has no answer by then has failed. Allows for two round trips of the longest link (110 ms) and
/// a wait for a slot.
constexpr duration check_time{600};
/// Rounds that may follow the first one of a suspicion within that time, if all checks fail early. One
/// request can crash several servers at a time, so that all of three checks meet crashed ones.
constexpr int max_more_rounds = 3;
/// Silence from which on links without an answered check are lost. Until then a response on an open
/// connection may still show that they are half open.
constexpr duration min_silence{200};
/// Links may fail this long before the last response is read or the last connection is made.
constexpr duration trouble_margin{1000};
/// Pause between rounds while the links are not up.
constexpr duration round_period{250};
/// Least time between suspicions, so that silent servers do not cause checks all the time.
constexpr duration suspicion_pause{1000};
/// Answers within this time return the links to service.
constexpr duration answer_window{1000};
constexpr std::size_t min_answers = 2;
/// Doublings of that number for links that are lost again soon.
constexpr int max_flaps = 2;
/// A loss sooner than this after the links were regained counts as flapping.
constexpr duration flap_time{5000};

constexpr std::array<std::string_view, 4> state_names{"up", "suspected", "half-open", "lost"};

}  // namespace
}  // namespace impl

std::string_view to_string(link_condition value) noexcept {
  return impl::state_names.at(static_cast<std::size_t>(value));
}

void link_monitor::on_sent(std::uint64_t backend, time_point now) {
  auto& open = this->calls[backend];
  const bool is_answered = open.count == 0 && open.ended_at <= this->last_life_at;
  if (is_answered) {
    open.sent_at = now;
  }
  ++open.count;
}

void link_monitor::on_ended(std::uint64_t backend, time_point now) {
  const auto found = this->calls.find(backend);
  if (found == this->calls.end()) {
    return;
  }
  found->second.ended_at = now;
  found->second.count = std::max(found->second.count - 1, 0);
  if (found->second.count == 0 && now <= this->last_life_at) {
    this->calls.erase(found);
  }
}

void link_monitor::on_life(time_point now) {
  this->last_life_at = now;
  this->failed.clear();
  this->was_reset = false;
}

void link_monitor::on_connected() {
  this->unconnected.clear();
}

void link_monitor::on_failed(std::uint64_t backend, bool connecting, time_point now) {
  if (this->failed.empty()) {
    this->failing_since = now;
  }
  this->failed.insert(backend);
  this->was_reset = this->was_reset || !connecting;
  if (connecting) {
    if (this->unconnected.empty()) {
      this->unconnected_since = now;
    }
    this->unconnected.insert(backend);
  }
}

bool link_monitor::is_silent(std::uint64_t backend, const open_calls& open, duration silence_needed,
                             time_point now) const noexcept {
  const bool is_unanswered = open.count > 0 || open.ended_at > this->last_life_at;
  return is_unanswered && !this->failed.contains(backend) &&
         now - std::max(open.sent_at, this->last_life_at) >= silence_needed;
}

bool link_monitor::has_evidence(time_point now) const {
  if (this->unconnected.size() >= impl::several || this->failed.size() >= impl::several) {
    return true;
  }
  if (now - this->last_life_at < impl::several_silent) {
    return false;
  }
  std::size_t silent = this->failed.size();
  bool one_is_long_silent = !this->failed.empty() && now - this->failing_since >= impl::one_silent;
  for (const auto& [backend, open] : this->calls) {
    silent += this->is_silent(backend, open, impl::several_silent, now) ? 1 : 0;
    one_is_long_silent = one_is_long_silent || this->is_silent(backend, open, impl::one_silent, now);
  }
  return silent >= impl::several || one_is_long_silent;
}

void link_monitor::request_round(time_point now) {
  if (this->current == link_condition::up) {
    this->set_state(link_condition::suspected, now);
    this->begin_round(now);
  }
}

void link_monitor::begin_round(time_point now) {
  this->round.clear();
  this->round_size = 0;
  this->round_wanted = true;
  this->round_started_at = now;
  this->next_round_at = now + impl::round_period;
}

bool link_monitor::wants_checks(time_point now) const noexcept {
  return this->round_wanted || (this->current >= link_condition::half_open && now >= this->next_round_at);
}

void link_monitor::on_checks_started(const std::vector<std::uint64_t>& checked, time_point now) {
  this->begin_round(now);
  if (this->more_rounds == impl::max_more_rounds) {
    this->first_round_at = now;
  }
  this->round_wanted = false;
  this->round.insert(checked.begin(), checked.end());
  this->round_size = checked.size();
  if (checked.empty()) {
    this->set_state(link_condition::up, now);
  }
}

void link_monitor::on_check_answered(std::uint64_t backend, time_point started_at, time_point now) {
  this->round.erase(backend);
  this->on_life(now);
  this->on_connected();
  if (this->current == link_condition::lost) {
    this->answers.push_back(now);
  }
  const bool settles =
      this->current == link_condition::suspected || this->current == link_condition::half_open;
  if (settles && started_at >= this->round_started_at) {
    this->set_state(link_condition::up, now);
  }
}

void link_monitor::on_check_failed(std::uint64_t backend, time_point now) {
  this->round.erase(backend);
  if (this->has_round_failed(now) && !this->continues_rounds(now)) {
    this->conclude(now);
  }
}

bool link_monitor::continues_rounds(time_point now) {
  const bool failed_early = this->round.empty() && now - this->first_round_at < impl::check_time;
  if (!failed_early || this->more_rounds == 0 || this->round_size < link_checks_per_round) {
    return false;
  }
  --this->more_rounds;
  this->begin_round(now);
  return true;
}

bool link_monitor::has_round_failed(time_point now) const noexcept {
  return this->current == link_condition::suspected && !this->round_wanted &&
         (this->round.empty() || now - this->first_round_at >= impl::check_time);
}

bool link_monitor::is_silent_since_round(time_point now) const noexcept {
  return this->last_life_at < this->first_round_at && this->silence(now) >= impl::min_silence;
}

void link_monitor::conclude(time_point now) {
  if (this->last_life_at >= this->first_round_at || this->has_usable_connections(now)) {
    const auto began = this->unconnected.empty() ? this->last_life_at : this->unconnected_since;
    this->trouble_began = began - impl::trouble_margin;
    this->set_state(link_condition::half_open, now);
  } else if (this->is_silent_since_round(now)) {
    this->trouble_began = this->last_life_at - impl::trouble_margin;
    this->set_state(link_condition::lost, now);
  }
}

bool link_monitor::has_usable_connections(time_point now) const {
  return this->has_open_connections && !this->was_reset && this->silence(now) >= impl::min_silence &&
         std::none_of(this->calls.begin(), this->calls.end(), [&](const auto& each) {
           return this->is_silent(each.first, each.second, impl::min_silence, now);
         });
}

void link_monitor::update(time_point now, bool has_open_connections_in) {
  this->has_open_connections = has_open_connections_in;
  switch (this->current) {
    case link_condition::up:
      if (now >= this->suspicion_allowed_at && this->has_evidence(now)) {
        this->suspicion_allowed_at = now + impl::suspicion_pause;
        this->set_state(link_condition::suspected, now);
        this->begin_round(now);
      }
      return;
    case link_condition::suspected:
      if (this->has_round_failed(now)) {
        this->conclude(now);
      }
      return;
    case link_condition::half_open: {
      const bool is_unused = this->failed.empty() && this->calls.empty();
      if (this->silence(now) >= impl::several_silent && !is_unused && !this->has_usable_connections(now)) {
        this->trouble_began = std::min(this->trouble_began, this->last_life_at - impl::trouble_margin);
        this->set_state(link_condition::lost, now);
      }
      return;
    }
    case link_condition::lost:
      while (!this->answers.empty() && now - this->answers.front() >= impl::answer_window) {
        this->answers.pop_front();
      }
      if (this->answers.size() >= this->answers_to_regain()) {
        this->set_state(link_condition::up, now);
      }
      return;
  }
}

std::size_t link_monitor::answers_to_regain() const noexcept {
  const auto wanted = impl::min_answers << static_cast<std::size_t>(this->flaps);
  const auto rounds_in_window = static_cast<std::size_t>(impl::answer_window.ms / impl::round_period.ms) - 1;
  return std::min(wanted, std::max<std::size_t>(this->round_size, 1) * rounds_in_window);
}

void link_monitor::set_state(link_condition next, time_point now) {
  if (next == link_condition::lost) {
    const bool is_flapping = this->regained_at > time_point{} && now - this->regained_at < impl::flap_time;
    this->flaps = is_flapping ? std::min(this->flaps + 1, impl::max_flaps) : 0;
    this->answers.clear();
  }
  if (this->current == link_condition::lost) {
    this->regained_at = now;
  }
  if (next == link_condition::up) {
    this->round.clear();
    this->round_wanted = false;
    this->failed.clear();
    this->was_reset = false;
    this->unconnected.clear();
    absl::erase_if(this->calls, [](const auto& each) { return each.second.count == 0; });
  }
  if (next == link_condition::suspected) {
    this->trouble_began = now - impl::trouble_margin;
    this->more_rounds = impl::max_more_rounds;
  }
  this->current = next;
}

bool link_monitor::is_lost(time_point now) const {
  if (this->pinned) {
    return *this->pinned == link_condition::lost;
  }
  return this->current == link_condition::lost ||
         (this->has_round_failed(now) && this->is_silent_since_round(now) &&
          !this->has_usable_connections(now));
}

std::vector<std::size_t> choose_link_checks(const std::vector<link_check_candidate>& candidates,
                                            std::size_t round) {
  std::vector<std::size_t> chosen;
  std::set<failure_domain_id> domains;
  std::set<service_id> services;
  const auto count = candidates.size();
  const auto begin = count == 0 ? 0 : round * link_checks_per_round % count;
  while (chosen.size() < std::min(link_checks_per_round, count)) {
    // Ranks are compared as in a tuple; the first of the best is chosen.
    std::tuple<bool, bool, bool> best_rank;
    std::size_t best = count;
    for (std::size_t i = 0; i < count; ++i) {
      const auto position = (begin + i) % count;
      const auto& each = candidates[position];
      if (std::find(chosen.begin(), chosen.end(), position) != chosen.end()) {
        continue;
      }
      const std::tuple rank{each.in_use, !domains.contains(each.domain), !services.contains(each.service)};
      if (best == count || rank > best_rank) {
        best = position;
        best_rank = rank;
      }
    }
    chosen.push_back(best);
    domains.insert(candidates[best].domain);
    services.insert(candidates[best].service);
  }
  return chosen;
}

}  // namespace zinnia
