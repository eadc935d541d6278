// Requests that are given up at servers which crash without closing their connections.
#include <gtest/gtest.h>

#include "zinnia/routing/crash_ledger.hpp"

using namespace zinnia;

namespace {

constexpr duration term{600'000};
constexpr request_fingerprint crashing{1};
constexpr request_fingerprint innocent{2};

class crash_ledger_silence : public testing::Test {
 protected:
  crash_ledger_silence() { this->ledger.set_longest_term(term); }

  void give_up(std::uint64_t backend, request_fingerprint request) {
    const lost_request sent{request, this->ledger.level(request, term, this->now), this->now};
    this->now = this->now + duration{2000};
    this->ledger.on_given_up(backend, sent, this->now);
  }

  time_point now{1'000'000};
  crash_ledger ledger;
};

TEST_F(crash_ledger_silence, counts_a_request_given_up_at_a_server_that_turns_out_to_have_crashed) {
  for (std::uint64_t backend = 1; backend <= 3; ++backend) {
    this->give_up(backend, crashing);
    EXPECT_TRUE(this->ledger.has_lost_requests(backend, this->now));
    this->now = this->now + duration{3000};
    this->ledger.on_crashed(backend, this->now);
    EXPECT_FALSE(this->ledger.has_lost_requests(backend, this->now));
  }
  EXPECT_GT(this->ledger.quarantine_left(crashing, term, this->now), duration{0});
}

TEST_F(crash_ledger_silence, forgets_requests_given_up_at_a_server_that_responds_or_returns_much_later) {
  this->give_up(1, innocent);
  this->ledger.on_response(1);
  this->ledger.on_crashed(1, this->now);
  this->give_up(2, innocent);
  this->ledger.on_alive(2);
  this->ledger.on_crashed(2, this->now);
  this->give_up(3, innocent);
  this->ledger.on_answered(innocent, this->now);
  this->ledger.on_crashed(3, this->now);
  this->give_up(4, crashing);
  this->now = this->now + duration{10'000};
  this->ledger.on_crashed(4, this->now);
  EXPECT_EQ(this->ledger.count_from_level(1, this->now), 0U);
}

TEST_F(crash_ledger_silence, counts_a_request_that_was_given_up_only_after_a_long_time) {
  const lost_request sent{crashing, 0, this->now};
  this->now = this->now + duration{10'000};
  this->ledger.on_given_up(1, sent, this->now);
  this->now = this->now + duration{3000};
  this->ledger.on_crashed(1, this->now);
  EXPECT_EQ(this->ledger.level(crashing, term, this->now), 1);
}

TEST_F(crash_ledger_silence, judges_requests_given_up_before_the_links_were_lost_once_they_have_returned) {
  this->give_up(1, crashing);
  this->ledger.on_links_lost(this->now);
  EXPECT_FALSE(this->ledger.has_lost_requests(1, this->now));
  EXPECT_EQ(this->ledger.on_links_regained(this->now), std::vector<std::uint64_t>{1});
  this->ledger.on_crashed(1, this->now);
  EXPECT_EQ(this->ledger.level(crashing, term, this->now), 1);
}

}  // namespace
