// Exact slots: never more grants than slots, whatever the reports, leases and hand-overs do.
#include "zinnia/steering/slot_ledger.hpp"

#include <gtest/gtest.h>

namespace zinnia {
namespace {

const service_id desk{"desk"};
const upstream_id first{"u:1"};
const upstream_id second{"u:2"};
constexpr time_point start{10'000};
constexpr time_point far_deadline{20'000};

class ledger_test : public testing::Test {
 protected:
  ledger_test() {
    service_settings values;
    values.reserve_percent = 40;
    values.queue_limit = 2;
    this->ledger.set_service(desk, values);
    this->ledger.set_valid_until(end_of_time);
    this->ledger.set_upstreams({this->held(first)});
  }

  [[nodiscard]] static held_upstream held(const upstream_id& id, std::int64_t under = 1) {
    held_upstream upstream;
    upstream.id = id;
    upstream.service = desk;
    upstream.slots = 3;
    upstream.held_since = epoch{under};
    return upstream;
  }

  [[nodiscard]] slot_decision ask(bool elsewhere = false, time_point deadline = far_deadline) {
    return this->ledger.request({++this->waiter, desk, elsewhere, deadline, true, {}}, start);
  }

  [[nodiscard]] slot_grant grant() { return std::get<slot_grant>(this->ask()); }

  [[nodiscard]] reason refusal(const slot_decision& decision) {
    const auto* const refused = std::get_if<slot_refusal>(&decision);
    return refused == nullptr ? reason::none : refused->why;
  }

  slot_ledger ledger;
  std::uint64_t waiter{0};
};

TEST_F(ledger_test, grants_slots_then_queues_then_refuses) {
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(std::holds_alternative<slot_grant>(this->ask()));
  }
  EXPECT_TRUE(std::holds_alternative<slot_queued>(this->ask()));
  EXPECT_TRUE(std::holds_alternative<slot_queued>(this->ask()));
  EXPECT_EQ(this->refusal(this->ask()), reason::queue_full);
  EXPECT_EQ(this->ledger.in_use(desk, first), 3);
}

TEST_F(ledger_test, release_wakes_the_first_in_the_queue) {
  const auto running = this->grant();
  static_cast<void>(this->grant());
  static_cast<void>(this->grant());
  ASSERT_TRUE(std::holds_alternative<slot_queued>(this->ask()));
  const auto queued = this->waiter;
  const auto woken = this->ledger.release(running, duration{20}, start);
  ASSERT_EQ(woken.size(), 1);
  EXPECT_EQ(woken[0].waiter, queued);
  EXPECT_TRUE(std::holds_alternative<slot_grant>(woken[0].decision));
  EXPECT_EQ(this->ledger.in_use(desk, first), 3);
}

TEST_F(ledger_test, refuses_early_what_cannot_be_answered_in_time) {
  for (int i = 0; i < 3; ++i) {
    static_cast<void>(this->grant());
  }
  EXPECT_EQ(this->refusal(this->ask(false, start + duration{5})), reason::wait_exceeds_deadline);
}

TEST_F(ledger_test, queued_request_past_its_deadline_is_refused) {
  for (int i = 0; i < 3; ++i) {
    static_cast<void>(this->grant());
  }
  ASSERT_TRUE(std::holds_alternative<slot_queued>(this->ask(false, start + duration{100})));
  const auto woken = this->ledger.poll(start + duration{100});
  ASSERT_EQ(woken.size(), 1);
  EXPECT_EQ(this->refusal(woken[0].decision), reason::deadline_passed);
}

TEST_F(ledger_test, reserve_is_kept_for_the_own_region) {
  EXPECT_TRUE(std::holds_alternative<slot_grant>(this->ask(true)));
  EXPECT_EQ(this->refusal(this->ask(true)), reason::reserve_kept);
  EXPECT_TRUE(std::holds_alternative<slot_grant>(this->ask()));
}

TEST_F(ledger_test, nothing_is_granted_or_sent_after_the_term) {
  const auto granted = this->grant();
  this->ledger.set_valid_until(start);
  EXPECT_EQ(this->refusal(this->ask()), reason::term_lapsed);
  EXPECT_FALSE(this->ledger.may_send(granted, start));
}

TEST_F(ledger_test, grant_of_a_former_epoch_is_not_sent) {
  const auto granted = this->grant();
  this->ledger.set_upstreams({this->held(first, 2)});
  EXPECT_FALSE(this->ledger.may_send(granted, start));
  EXPECT_EQ(this->ledger.in_use(desk, first), 1);
}

TEST_F(ledger_test, withdrawn_upstream_counts_until_its_last_request_ends) {
  const auto granted = this->grant();
  this->ledger.set_upstreams({});
  EXPECT_EQ(this->ledger.in_use(desk, first), 1);
  EXPECT_EQ(this->refusal(this->ask()), reason::no_holder);
  static_cast<void>(this->ledger.release(granted, duration{1}, start));
  EXPECT_EQ(this->ledger.total_in_use(), 0);
}

TEST_F(ledger_test, quarantine_ends_by_time_or_by_two_quiet_reports) {
  auto upstream = this->held(first);
  upstream.quarantined_until = start + duration{1000};
  this->ledger.set_upstreams({upstream});
  EXPECT_EQ(this->refusal(this->ask()), reason::no_holder);
  const auto report = [](std::int64_t in_use) {
    return upstream_report{first, true, false, 3, in_use, start};
  };
  this->ledger.report(report(0));
  EXPECT_EQ(this->refusal(this->ask()), reason::no_holder);
  this->ledger.report(report(1));
  this->ledger.report(report(0));
  EXPECT_EQ(this->refusal(this->ask()), reason::no_holder);
  this->ledger.report(report(0));
  EXPECT_TRUE(std::holds_alternative<slot_grant>(this->ask()));
}

struct report_case {
  const char* name;
  upstream_report report;
  int grants;
};

TEST_F(ledger_test, reports_only_ever_lower_what_is_offered) {
  const std::vector<report_case> table{
      {"claims more slots than it has", {first, true, false, 50, 0, start}, 3},
      {"admits fewer", {first, true, false, 1, 0, start}, 1},
      {"leaving", {first, true, true, 3, 0, start}, 0},
      {"unreachable", {first, false, false, 3, 0, start}, 0},
  };
  for (const auto& row : table) {
    slot_ledger fresh;
    fresh.set_service(desk, {});
    fresh.set_valid_until(end_of_time);
    fresh.set_upstreams({this->held(first)});
    fresh.report(row.report);
    int grants = 0;
    for (int i = 0; i < 6; ++i) {
      grants +=
          std::holds_alternative<slot_grant>(fresh.request({0, desk, false, far_deadline, true, {}}, start))
              ? 1
              : 0;
    }
    EXPECT_EQ(grants, row.grants) << row.name;
  }
}

TEST_F(ledger_test, closed_upstream_takes_nothing_and_another_does) {
  auto closed = this->held(first);
  closed.closed = true;
  this->ledger.set_upstreams({closed, this->held(second)});
  EXPECT_EQ(this->grant().upstream, second);
}

TEST_F(ledger_test, second_attempt_avoids_the_upstream_that_failed) {
  this->ledger.set_upstreams({this->held(first), this->held(second)});
  const auto decision = this->ledger.request({9, desk, false, far_deadline, true, first}, start);
  EXPECT_EQ(std::get<slot_grant>(decision).upstream, second);
}

}  // namespace
}  // namespace zinnia
