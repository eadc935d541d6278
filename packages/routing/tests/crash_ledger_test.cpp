// Which requests are suspected and quarantined after crashes, one ledger at a time; the clock is set by hand.
#include "zinnia/routing/crash_ledger.hpp"

#include <gtest/gtest.h>

#include <set>

using namespace zinnia;

namespace {

constexpr duration term{600'000};
constexpr request_fingerprint crashing{1};
constexpr request_fingerprint innocent{2};

class crash_ledger_test : public testing::Test {
 protected:
  crash_ledger_test() { this->ledger.set_longest_term(term); }

  [[nodiscard]] lost_request sent_now(request_fingerprint request) const {
    return {request, this->ledger.level(request, term, this->now), this->now};
  }
  /// A server crashes while it has these requests.
  void crash(std::uint64_t backend, const std::vector<lost_request>& lost) {
    this->advance(100);
    for (const auto& each : lost) {
      this->ledger.on_lost(backend, each, this->now);
    }
    this->advance(20);
    this->ledger.on_crashed(backend, this->now);
  }
  void quarantine(request_fingerprint request) {
    while (!this->is_quarantined(request)) {
      this->crash(this->next_backend++, {this->sent_now(request)});
    }
  }
  [[nodiscard]] int level(request_fingerprint request) const {
    return this->ledger.level(request, term, this->now);
  }
  [[nodiscard]] bool is_quarantined(request_fingerprint request) const {
    return this->ledger.quarantine_left(request, term, this->now) > duration{0};
  }
  void advance(std::int64_t ms) { this->now = this->now + duration{ms}; }

  time_point now{1'000'000};
  crash_ledger ledger;
  std::uint64_t next_backend{1'000};
};

/// Guards against evidence of crashes that is forgotten while most servers are down at a time, which looks
/// like lost links, and against links that are cut again and again and make a popular request suspected.
TEST_F(crash_ledger_test, keeps_requests_lost_with_the_links_until_their_servers_can_be_checked) {
  constexpr request_fingerprint answered{3};
  constexpr request_fingerprint too_old{4};
  this->ledger.on_lost(14, this->sent_now(too_old), this->now);
  this->ledger.on_links_lost(this->now);
  this->advance(5000);
  this->ledger.on_lost(11, this->sent_now(crashing), this->now);
  this->ledger.on_lost(12, this->sent_now(innocent), this->now);
  this->ledger.on_links_lost(this->now);
  this->ledger.hold(13, this->sent_now(answered), this->now);
  EXPECT_EQ(this->ledger.unconfirmed_count(this->now), 0U);
  this->ledger.on_answered(answered, this->now);
  this->advance(5000);
  const auto to_check = this->ledger.on_links_regained(this->now);
  EXPECT_EQ(std::set<std::uint64_t>(to_check.begin(), to_check.end()), (std::set<std::uint64_t>{11, 12}));
  this->ledger.on_crashed(11, this->now);
  this->ledger.on_alive(12);
  for (const std::uint64_t backend : {12, 13, 14}) {
    this->ledger.on_crashed(backend, this->now);
  }
  EXPECT_EQ(this->level(crashing), 1);
  EXPECT_EQ(this->level(innocent), 0);
  EXPECT_EQ(this->level(answered), 0);
  EXPECT_EQ(this->level(too_old), 0);
}

TEST_F(crash_ledger_test, names_for_a_restored_store_what_is_quarantined_and_what_was_released) {
  EXPECT_TRUE(this->ledger.quarantine_states(this->now).empty());
  this->quarantine(crashing);
  this->crash(this->next_backend++, {this->sent_now(innocent)});
  auto states = this->ledger.quarantine_states(this->now);
  ASSERT_EQ(states.size(), 1U);
  EXPECT_EQ(states[0].request, crashing);
  EXPECT_EQ(states[0].level, 3);
  this->ledger.on_answered(crashing, this->now);
  this->ledger.on_answered(innocent, this->now);
  states = this->ledger.quarantine_states(this->now);
  ASSERT_EQ(states.size(), 1U) << "the innocent one was never in the store";
  EXPECT_EQ(states[0], crash_report{crashing});
  this->advance(1000);
  this->quarantine(crashing);
  states = this->ledger.quarantine_states(this->now);
  ASSERT_EQ(states.size(), 1U);
  EXPECT_EQ(states[0].level, 3);
  this->advance(term.ms);
  EXPECT_TRUE(this->ledger.quarantine_states(this->now).empty()) << "its term is over";
}

TEST_F(crash_ledger_test, quarantines_a_request_after_three_crashes_in_succession) {
  for (int crashes = 1; crashes <= 3; ++crashes) {
    EXPECT_FALSE(this->is_quarantined(crashing));
    this->crash(this->next_backend++, {this->sent_now(crashing)});
    EXPECT_EQ(this->level(crashing), crashes);
  }
  EXPECT_EQ(this->ledger.quarantine_left(crashing, term, this->now), term);
  EXPECT_EQ(this->ledger.take_quarantine_changes().size(), 1U);
  EXPECT_TRUE(this->ledger.take_quarantine_changes().empty());
}

TEST_F(crash_ledger_test, does_not_condemn_the_requests_of_a_failure_domain_that_loses_power) {
  std::vector<lost_request> lost;
  for (std::uint64_t i = 0; i < 50; ++i) {
    lost.push_back(this->sent_now(request_fingerprint{i}));
  }
  this->advance(100);
  for (std::uint64_t backend = 0; backend < 12; ++backend) {
    for (const auto& each : lost) {
      this->ledger.on_lost(backend, each, this->now);
    }
  }
  for (std::uint64_t backend = 0; backend < 12; ++backend) {
    this->advance(10);
    this->ledger.on_crashed(backend, this->now);
  }
  EXPECT_EQ(this->ledger.count_from_level(1, this->now), 50U);
  EXPECT_EQ(this->ledger.count_from_level(2, this->now), 0U);
}

TEST_F(crash_ledger_test, quarantines_a_request_at_a_crash_long_after_a_burst_that_crashed_several_servers) {
  const auto burst = this->sent_now(crashing);
  this->crash(1, {burst, this->sent_now(innocent)});
  this->crash(2, {burst});
  this->crash(3, {burst});
  EXPECT_EQ(this->level(crashing), 1);
  this->advance(4000);
  this->crash(4, {this->sent_now(crashing), this->sent_now(innocent)});
  EXPECT_TRUE(this->is_quarantined(crashing));
  EXPECT_EQ(this->level(innocent), 1);
}

TEST_F(crash_ledger_test, does_not_quarantine_the_requests_of_servers_that_crash_together_at_the_next_crash) {
  const auto burst = this->sent_now(innocent);
  for (std::uint64_t backend = 1; backend <= 4; ++backend) {
    this->crash(backend, {burst});
  }
  this->crash(5, {this->sent_now(innocent)});
  EXPECT_EQ(this->level(innocent), 2);
}

TEST_F(crash_ledger_test, does_not_raise_the_bystanders_of_a_request_that_explains_the_crash) {
  this->crash(1, {this->sent_now(crashing), this->sent_now(innocent)});
  EXPECT_EQ(this->level(crashing), 1);
  EXPECT_EQ(this->level(innocent), 1);
  this->crash(2, {this->sent_now(crashing)});
  std::vector<lost_request> fifty{this->sent_now(innocent), this->sent_now(crashing)};
  for (std::uint64_t i = 100; i < 148; ++i) {
    fifty.push_back(this->sent_now(request_fingerprint{i}));
  }
  this->crash(3, fifty);
  EXPECT_TRUE(this->is_quarantined(crashing));
  EXPECT_EQ(this->level(innocent), 1);
  EXPECT_EQ(this->ledger.count_from_level(1, this->now), 2U);
}

TEST_F(crash_ledger_test, lowers_a_bystander_when_another_node_explains_the_crash) {
  for (std::uint64_t backend = 1; backend <= 3; ++backend) {
    this->crash(backend, {this->sent_now(innocent)});
  }
  EXPECT_TRUE(this->is_quarantined(innocent));
  this->ledger.apply({crashing, 3, 3, 4, duration{10}, duration{300}}, this->now);
  EXPECT_EQ(this->level(innocent), 2);
  const auto changes = this->ledger.take_quarantine_changes();
  ASSERT_EQ(changes.size(), 3U);
  EXPECT_EQ(changes[1].request, innocent);
  EXPECT_EQ(changes[1].level, 0);
  EXPECT_TRUE(this->is_quarantined(crashing));
}

TEST_F(crash_ledger_test, counts_a_crash_once_for_a_request_that_a_server_had_twice) {
  this->crash(1, {this->sent_now(crashing), this->sent_now(crashing)});
  this->ledger.on_lost(1, {crashing, 0, this->now - duration{50}}, this->now);
  EXPECT_EQ(this->level(crashing), 1);
}

TEST_F(crash_ledger_test, suspects_nobody_while_the_server_runs_or_nothing_shows_that_it_crashed) {
  for (int i = 0; i < 5; ++i) {
    this->ledger.on_lost(1, this->sent_now(innocent), this->now);
    EXPECT_TRUE(this->ledger.awaits_confirmation(1, this->now));
    EXPECT_EQ(this->ledger.unconfirmed_count(this->now), 1U);
    this->ledger.on_alive(1);
    EXPECT_FALSE(this->ledger.awaits_confirmation(1, this->now));
  }
  this->ledger.on_lost(1, this->sent_now(innocent), this->now);
  this->advance(2'000);
  EXPECT_EQ(this->ledger.unconfirmed_count(this->now), 0U);
  this->ledger.on_crashed(1, this->now);
  EXPECT_EQ(this->level(innocent), 0);
}

TEST_F(crash_ledger_test, attributes_a_loss_that_is_noticed_after_the_crash) {
  const auto lost = this->sent_now(crashing);
  this->advance(90);
  this->ledger.on_crashed(1, this->now);
  this->advance(5);
  this->ledger.on_lost(1, lost, this->now);
  EXPECT_EQ(this->level(crashing), 1);
  // Sent after that crash: not lost by it.
  this->ledger.on_lost(1, this->sent_now(innocent), this->now);
  EXPECT_EQ(this->level(innocent), 0);
}

TEST_F(crash_ledger_test, forgets_a_suspicion_once_the_request_is_answered) {
  this->crash(1, {this->sent_now(innocent)});
  this->crash(2, {this->sent_now(innocent)});
  this->ledger.on_lost(3, this->sent_now(innocent), this->now);
  this->ledger.on_answered(innocent, this->now);
  EXPECT_EQ(this->level(innocent), 0);
  this->ledger.on_crashed(3, this->now);
  EXPECT_EQ(this->level(innocent), 0);
  this->crash(4, {this->sent_now(innocent)});
  EXPECT_EQ(this->level(innocent), 1);
}

TEST_F(crash_ledger_test, an_answer_clears_the_request_at_other_nodes_and_old_reports_do_not_revive_it) {
  crash_ledger other;
  other.set_longest_term(term);
  this->quarantine(innocent);
  for (const auto& report : this->ledger.take_reports()) {
    other.apply(report, this->now);
  }
  EXPECT_EQ(other.level(innocent, term, this->now), 3);
  const auto stale = other.take_reports();
  this->advance(1'000);
  this->ledger.on_answered(innocent, this->now);
  for (auto report : stale) {
    report.age = report.age + duration{1'000};
    report.first_age = report.first_age + duration{1'000};
    this->ledger.apply(report, this->now);
  }
  EXPECT_EQ(this->level(innocent), 0);
  const auto answered = this->ledger.take_reports();
  ASSERT_FALSE(answered.empty());
  other.apply(answered.front(), this->now);
  EXPECT_EQ(other.level(innocent, term, this->now), 0);
}

TEST_F(crash_ledger_test, tells_a_node_that_missed_the_answer) {
  this->quarantine(innocent);
  this->advance(1'000);
  this->ledger.on_answered(innocent, this->now);
  static_cast<void>(this->ledger.take_reports());
  this->advance(20'000);
  this->ledger.apply({innocent, 5, 3, 3, duration{21'000}, duration{21'400}}, this->now);
  const auto reports = this->ledger.take_reports();
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0], (crash_report{innocent, 0, 0, 0, duration{20'000}, duration{20'000}}));
}

TEST_F(crash_ledger_test, ends_a_quarantine_and_renews_it_after_one_crash) {
  this->quarantine(crashing);
  this->advance(term.ms - 1);
  EXPECT_TRUE(this->is_quarantined(crashing));
  this->advance(1);
  EXPECT_FALSE(this->is_quarantined(crashing));
  EXPECT_EQ(this->level(crashing), 2);
  this->crash(7, {this->sent_now(crashing)});
  EXPECT_TRUE(this->is_quarantined(crashing));
  this->advance(2 * term.ms);
  EXPECT_EQ(this->level(crashing), 0);
  static_cast<void>(this->ledger.reports_to_repeat(30, this->now));
  EXPECT_EQ(this->ledger.count_from_level(0, this->now), 0U);
}

TEST_F(crash_ledger_test, forgets_a_suspicion_after_the_term) {
  this->crash(1, {this->sent_now(innocent)});
  this->crash(2, {this->sent_now(innocent)});
  this->advance(term.ms);
  EXPECT_EQ(this->level(innocent), 0);
}

TEST_F(crash_ledger_test, keeps_the_start_of_a_quarantine_when_reports_of_it_go_round) {
  this->quarantine(crashing);
  const auto reports = this->ledger.take_reports();
  const auto ends_at = this->now + this->ledger.quarantine_left(crashing, term, this->now);
  for (int i = 0; i < 100; ++i) {
    this->advance(50);
    this->ledger.apply(reports.back(), this->now);
  }
  EXPECT_EQ((this->now + this->ledger.quarantine_left(crashing, term, this->now)).ms, ends_at.ms);
}

TEST_F(crash_ledger_test, nodes_that_know_different_last_crashes_do_not_report_to_each_other_for_ever) {
  constexpr std::size_t nodes = 4;
  std::vector<crash_ledger> ledgers(nodes);
  std::vector<std::pair<std::size_t, crash_report>> sent;
  for (std::size_t i = 0; i < nodes; ++i) {
    ledgers[i].set_longest_term(term);
    ledgers[i].apply({crashing, 10 + i, 3, 3, duration{static_cast<std::int64_t>(i)}, duration{900}},
                     this->now);
  }
  std::size_t total = 0;
  for (int round = 0; round < 100; ++round) {
    for (std::size_t i = 0; i < nodes; ++i) {
      for (const auto& report : ledgers[i].take_reports()) {
        sent.emplace_back(i, report);
      }
    }
    total += sent.size();
    this->advance(60);
    for (const auto& [from, report] : std::exchange(sent, {})) {
      for (std::size_t to = 0; to < nodes; ++to) {
        if (to != from) {
          ledgers[to].apply(report, this->now);
        }
      }
    }
  }
  EXPECT_LE(total, 2 * nodes);
}

TEST_F(crash_ledger_test, remembers_nothing_with_a_term_of_0) {
  this->ledger.set_longest_term(duration{0});
  for (std::uint64_t backend = 0; backend < 5; ++backend) {
    this->crash(backend, {this->sent_now(crashing)});
  }
  EXPECT_EQ(this->ledger.count_from_level(0, this->now), 0U);
}

TEST_F(crash_ledger_test, is_bounded_and_keeps_the_quarantined) {
  this->quarantine(crashing);
  for (std::uint64_t i = 0; i < 20'000; ++i) {
    const std::uint64_t backend = 2'000 + i / 100;
    this->ledger.on_lost(backend, this->sent_now(request_fingerprint{1'000 + i}), this->now);
    if (i % 100 == 99) {
      this->ledger.on_crashed(backend, this->now);
      this->advance(10);
    }
  }
  EXPECT_EQ(this->ledger.count_from_level(0, this->now), crash_ledger::max_requests);
  EXPECT_TRUE(this->is_quarantined(crashing));
  EXPECT_LE(this->ledger.take_reports().size(), 310U);
  EXPECT_LE(this->ledger.reports_to_repeat(30, this->now).size(), 30U);
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    this->ledger.on_lost(9'999, this->sent_now(request_fingerprint{i}), this->now);
  }
  this->ledger.on_crashed(9'999, this->now);
  EXPECT_EQ(this->ledger.count_from_level(0, this->now), crash_ledger::max_requests);
}

TEST_F(crash_ledger_test, keeps_a_bounded_number_of_requests_that_one_server_has_lost) {
  for (std::uint64_t i = 0; i < 10'000; ++i) {
    this->ledger.on_lost(1, this->sent_now(request_fingerprint{i}), this->now);
  }
  this->ledger.on_crashed(1, this->now);
  EXPECT_EQ(this->ledger.count_from_level(0, this->now), 256U);
}

TEST_F(crash_ledger_test, forwards_first_crashes_of_other_nodes_within_a_limit_and_later_ones_always) {
  for (std::uint64_t i = 0; i < 100; ++i) {
    this->ledger.apply({request_fingerprint{100 + i}, 50 + i, 1, 1, duration{5}, duration{5}}, this->now);
  }
  EXPECT_EQ(this->ledger.take_reports().size(), 30U);
  for (std::uint64_t i = 0; i < 100; ++i) {
    this->ledger.apply({request_fingerprint{100 + i}, 500 + i, 2, 2, duration{5}, duration{200}}, this->now);
  }
  EXPECT_EQ(this->ledger.take_reports().size(), 100U);
  this->ledger.apply({request_fingerprint{100}, 500, 2, 2, duration{9}, duration{204}}, this->now);
  EXPECT_TRUE(this->ledger.take_reports().empty());
}

TEST_F(crash_ledger_test, repeats_all_quarantined_requests_in_turn_once_a_second) {
  for (std::uint64_t i = 0; i < 50; ++i) {
    this->ledger.apply(
        {request_fingerprint{i * 0x0500000000000000U + i}, 50 + i, 3, 3, duration{60'000}, duration{61'000}},
        this->now);
  }
  EXPECT_EQ(this->ledger.count_from_level(3, this->now), 50U);
  std::set<std::uint64_t> repeated;
  for (int second = 0; second < 2; ++second) {
    const auto reports = this->ledger.reports_to_repeat(30, this->now);
    EXPECT_EQ(reports.size(), 30U);
    for (const auto& report : reports) {
      repeated.insert(report.request.count());
    }
    EXPECT_TRUE(this->ledger.reports_to_repeat(30, this->now).empty());
    this->advance(1'000);
  }
  EXPECT_EQ(repeated.size(), 50U);
}

}  // namespace
