// Who gets memory, who frees it when it is short, and bodies in blocks.
#include "zinnia/http/memory_budget.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "zinnia/http/body_buffer.hpp"

using namespace zinnia;

namespace {

class manual_clock final : public clock_source {
 public:
  [[nodiscard]] time_point now() const noexcept override { return this->current; }
  void advance(duration by) { this->current = this->current + by; }

 private:
  time_point current{1000};
};

constexpr std::size_t kib = 1 << 10;
constexpr std::size_t limit = 1000 * kib;

/// A holder with one charge, which it drops when it is asked to.
struct holding_request {
  explicit holding_request(memory_budget& budget, bool is_response = false)
      : holder{is_response,
               [this] {
                 this->was_freed = true;
                 this->charge.resize(0);
               }},
        charge{&budget, &holder} {}

  memory_holder holder;
  memory_charge charge;
  bool was_freed{false};
};

class memory_budget_test : public testing::Test {
 protected:
  manual_clock clock;
  memory_budget budget{limit, this->clock};
};

TEST_F(memory_budget_test, keeps_a_share_for_small_requests) {
  holding_request large{this->budget};
  EXPECT_FALSE(large.charge.try_resize(limit));
  EXPECT_TRUE(large.charge.try_resize(this->budget.max_request()));
  holding_request another{this->budget};
  EXPECT_FALSE(another.charge.try_resize(memory_budget::max_small_request + 1));
  EXPECT_TRUE(another.charge.try_resize(memory_budget::max_small_request));
  EXPECT_FALSE(large.was_freed);
}

TEST_F(memory_budget_test, keeps_a_share_for_the_first_request_of_a_connection) {
  memory_charge served{&this->budget};
  EXPECT_FALSE(served.try_resize(limit, memory_share::common));
  EXPECT_TRUE(served.try_resize(this->budget.max_request(), memory_share::common));
  memory_charge later{&this->budget};
  EXPECT_FALSE(later.try_resize(kib, memory_share::common));
  memory_charge first{&this->budget};
  EXPECT_TRUE(first.try_resize(kib, memory_share::all));
}

TEST_F(memory_budget_test, frees_the_request_without_progress_for_the_longest_time) {
  holding_request first{this->budget};
  holding_request second{this->budget};
  ASSERT_TRUE(first.charge.try_resize(400 * kib));
  ASSERT_TRUE(second.charge.try_resize(400 * kib));
  this->clock.advance(duration{200});
  ASSERT_TRUE(first.charge.try_resize(410 * kib));
  this->clock.advance(duration{100});
  holding_request third{this->budget};
  EXPECT_TRUE(third.charge.try_resize(300 * kib));
  EXPECT_FALSE(first.was_freed);
  EXPECT_TRUE(second.was_freed);
  EXPECT_EQ(this->budget.used(), 710 * kib);
}

TEST_F(memory_budget_test, refuses_new_requests_while_all_others_make_progress) {
  holding_request first{this->budget};
  ASSERT_TRUE(first.charge.try_resize(850 * kib));
  this->clock.advance(duration{200});
  holding_request second{this->budget};
  EXPECT_FALSE(second.charge.try_resize(100 * kib));
  EXPECT_EQ(second.charge.size(), 0U);
  EXPECT_FALSE(first.was_freed);
  EXPECT_EQ(this->budget.shortages(), 1U);
}

TEST_F(memory_budget_test, frees_no_small_request_for_a_large_one) {
  std::vector<std::unique_ptr<holding_request>> small;
  for (int i = 0; i < 10; ++i) {
    ASSERT_TRUE(
        small.emplace_back(std::make_unique<holding_request>(this->budget))->charge.try_resize(60 * kib));
  }
  this->clock.advance(duration{5000});
  holding_request large{this->budget};
  EXPECT_FALSE(large.charge.try_resize(500 * kib));
  for (const auto& request : small) {
    EXPECT_FALSE(request->was_freed);
  }
  holding_request another{this->budget};
  ASSERT_TRUE(large.charge.try_resize(300 * kib));
  for (int i = 0; i < 2; ++i) {
    ASSERT_TRUE(
        small.emplace_back(std::make_unique<holding_request>(this->budget))->charge.try_resize(50 * kib));
  }
  // The large request makes progress, so the oldest small one goes.
  EXPECT_TRUE(another.charge.try_resize(50 * kib));
  EXPECT_TRUE(small.front()->was_freed);
  EXPECT_FALSE(large.was_freed);
}

TEST_F(memory_budget_test, never_asks_the_request_that_takes_memory) {
  holding_request only{this->budget};
  ASSERT_TRUE(only.charge.try_resize(800 * kib));
  this->clock.advance(duration{5000});
  EXPECT_FALSE(only.charge.try_resize(950 * kib));
  EXPECT_FALSE(only.was_freed);
}

TEST_F(memory_budget_test, closes_responses_that_are_not_read_when_they_exceed_the_limit) {
  holding_request unread{this->budget, true};
  unread.charge.resize(600 * kib);
  this->budget.note_progress(unread.holder);
  holding_request reading{this->budget, true};
  reading.charge.resize(500 * kib);
  this->budget.note_progress(reading.holder);
  EXPECT_FALSE(unread.was_freed) << "it has just made progress";
  this->clock.advance(duration{1000});
  this->budget.note_progress(reading.holder);
  reading.charge.resize(600 * kib);
  EXPECT_TRUE(unread.was_freed);
  EXPECT_FALSE(reading.was_freed);
}

TEST_F(memory_budget_test, closes_the_oldest_response_at_once_far_beyond_the_limit) {
  std::vector<std::unique_ptr<holding_request>> responses;
  for (int i = 0; i < 30; ++i) {
    auto& added = *responses.emplace_back(std::make_unique<holding_request>(this->budget, true));
    added.charge.resize(100 * kib);
    this->budget.note_progress(added.holder);
    EXPECT_LE(this->budget.used(), limit + limit / 4);
  }
  EXPECT_TRUE(responses.front()->was_freed);
  EXPECT_FALSE(responses.back()->was_freed);
}

TEST_F(memory_budget_test, charges_move_and_end_with_their_owner) {
  memory_charge kept;
  {
    holding_request request{this->budget};
    ASSERT_TRUE(request.charge.try_resize(100 * kib));
    request.charge.detach_from_holder();
    EXPECT_EQ(request.holder.held(), 0U);
    kept = std::move(request.charge);
  }
  EXPECT_EQ(this->budget.used(), 100 * kib);
  kept = memory_charge{&this->budget};
  EXPECT_EQ(this->budget.used(), 0U);
}

/// Random holders of all kinds: the account is exact, and the limits hold at each step.
TEST_F(memory_budget_test, is_exact_over_random_steps) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    std::mt19937_64 random{seed};
    std::vector<std::unique_ptr<holding_request>> all;
    for (int i = 0; i < 20; ++i) {
      all.push_back(std::make_unique<holding_request>(this->budget, i % 4 == 0));
    }
    for (int step = 0; step < 2000; ++step) {
      auto& chosen = *all[random() % all.size()];
      const auto wanted = random() % (200 * kib);
      if (&chosen == all[0].get() || random() % all.size() % 4 == 0) {
        chosen.charge.resize(wanted);
      } else {
        static_cast<void>(chosen.charge.try_resize(wanted));
      }
      if (chosen.charge.size() > 0) {
        this->budget.note_progress(chosen.holder);
      }
      this->clock.advance({static_cast<std::int64_t>(random() % 100)});
      std::size_t sum = 0;
      for (const auto& request : all) {
        EXPECT_EQ(request->holder.held(), request->charge.size());
        sum += request->charge.size();
      }
      ASSERT_EQ(this->budget.used(), sum) << "seed " << seed << " step " << step;
      ASSERT_LE(sum, limit + limit / 4) << "seed " << seed << " step " << step;
    }
    all.clear();
    ASSERT_EQ(this->budget.used(), 0U);
  }
}

TEST_F(memory_budget_test, bodies_in_blocks_keep_their_bytes_and_charge_what_they_allocate) {
  std::mt19937_64 random{7};
  for (int i = 0; i < 50; ++i) {
    body_buffer body{memory_charge{&this->budget}};
    std::string expected;
    while (expected.size() < random() % (700 * kib)) {
      const std::string piece(1 + random() % (i % 2 == 0 ? 20 : 70'000),
                              static_cast<char>('a' + random() % 26));
      ASSERT_TRUE(body.try_append(piece));
      expected += piece;
    }
    EXPECT_EQ(body.size(), expected.size());
    EXPECT_EQ(body.str(), expected);
    EXPECT_GE(this->budget.used(), expected.size());
    EXPECT_LE(this->budget.used(), expected.size() + std::min<std::size_t>(expected.size(), 64 * kib) +
                                       body.blocks().size() * 64 + kib);
  }
  EXPECT_EQ(this->budget.used(), 0U);
}

TEST_F(memory_budget_test, a_body_without_memory_is_not_kept) {
  holding_request other{this->budget};
  ASSERT_TRUE(other.charge.try_resize(800 * kib));
  body_buffer body{memory_charge{&this->budget}};
  EXPECT_FALSE(body.try_append(std::string(300 * kib, 'b')));
  EXPECT_LE(this->budget.used(), limit);
}

}  // namespace
