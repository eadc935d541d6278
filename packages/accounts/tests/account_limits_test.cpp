// Tests that nodes together keep to an account's limit, and that the account is served what it may have.
#include <gtest/gtest.h>

#include "account_limits_model.hpp"
#include "zinnia/core/rendezvous.hpp"

using namespace zinnia;

namespace {

struct limit_case {
  std::size_t nodes;
  double rate;
  double burst;
};

class account_limits_bound : public testing::TestWithParam<limit_case> {};

// Guards against tokens that are duplicated by late, repeated or lost messages, by restarts and by pauses.
TEST_P(account_limits_bound, holds_in_every_window_while_nodes_and_links_fail) {
  const auto& tried = GetParam();
  int accepted_grants = 0;
  for (unsigned seed = 1; seed <= 12; ++seed) {
    account_limits_model model{tried.nodes, tried.rate, tried.burst, seed};
    model.loss = 0.1;
    model.late = 0.2;
    std::int64_t restart_at = 0;
    for (int phase = 0; phase < 120; ++phase) {
      // Demand moves between nodes; at times it ends everywhere, so that all buckets fill.
      const bool is_idle = phase % 30 < 10;
      for (auto& each : model.nodes) {
        const double demand = is_idle ? 0 : model.fraction();
        each.demand_per_second = demand < 0.4   ? 0
                                 : demand < 0.7 ? tried.rate / 3
                                                : tried.rate * 3 + tried.burst;
      }
      auto& victim = model.nodes[model.random() % tried.nodes];
      const double fault = model.fraction();
      if (fault < 0.1) {
        victim.stopped_until =
            model.now + static_cast<std::int64_t>(model.fraction() * (fault < 0.02 ? 10'000 : 1'000));
      } else if (fault < 0.2) {
        victim.cut_until = model.now + 2'000;
      } else if (fault > 0.6 && model.now > restart_at) {
        // All nodes may restart at once, but a node starts at most twice in a window.
        restart_at = model.now + 2'500;
        for (std::size_t i = 0; i < tried.nodes; ++i) {
          if (fault > 0.7 || &model.nodes[i] == &victim) {
            model.start(i);
          }
        }
      }
      model.run_for(500);
    }
    EXPECT_LE(static_cast<double>(model.most_in_a_window()), model.bound(tried.rate, tried.burst))
        << "seed " << seed;
    accepted_grants += model.accepted_grants;
  }
  EXPECT_GT(accepted_grants, 0);
}

INSTANTIATE_TEST_SUITE_P(sizes, account_limits_bound,
                         testing::Values(limit_case{3, 30, 30}, limit_case{3, 3, 3}, limit_case{12, 3, 3},
                                         limit_case{12, 200, 100}, limit_case{12, 400, 0},
                                         limit_case{3, 10, 200}));

// Guards against buckets that keep tokens of a limit that has been lowered.
TEST(account_limits, keep_to_a_lowered_limit_after_it_is_in_force_everywhere) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    account_limits_model model{3, 60, 60, seed};
    model.loss = 0.1;
    model.late = 0.2;
    model.nodes[0].demand_per_second = 200;
    model.nodes[1].demand_per_second = 10;
    model.run_for(10'000);
    model.declare(6, 6);
    for (auto& each : model.nodes) {
      model.run_for(300);
      each.limits->set_accounts(model.table, time_point{model.now});
    }
    const auto changed_at = model.now;
    model.run_for(20'000);
    EXPECT_LE(static_cast<double>(model.most_in_a_window(changed_at)), model.bound(6, 6)) << "seed " << seed;
  }
}

// Guards against tokens that stay at nodes without demand.
TEST(account_limits, moves_the_tokens_of_idle_nodes_to_the_node_with_demand_within_half_a_second) {
  for (const std::size_t count : {std::size_t{3}, std::size_t{12}}) {
    account_limits_model model{count, 120, 48, 1};
    model.run_for(20'000);
    model.nodes[0].demand_per_second = 360;
    model.run_for(500);
    // All buckets are full at first: the burst and one token at each.
    EXPECT_GE(model.nodes[0].admitted, 48 + count) << count << " nodes";
    const auto before = model.nodes[0].admitted;
    model.run_for(5'000);
    EXPECT_GE(model.nodes[0].admitted - before, 0.85 * 600) << count << " nodes";
  }
}

// Guards against small accounts that starve on fractions of tokens at many holders.
TEST(account_limits, serve_a_small_account_whose_callers_all_use_one_node) {
  for (unsigned seed = 1; seed <= 10; ++seed) {
    account_limits_model model{12, 3, 3, seed};
    model.run_for(20'000);
    for (std::size_t at : {std::size_t{0}, std::size_t{7}}) {
      auto& used = model.nodes[at];
      const auto begin = model.now;
      used.demand_per_second = 3;
      model.run_for(60'000);
      const auto possible = model.admitted_by_one_bucket(3, 3, begin);
      EXPECT_GE(used.admitted, 0.9 * possible) << "seed " << seed << ", node " << at;
      used.demand_per_second = 0;
      model.run_for(5'000);
    }
  }
}

// Guards against tokens that are lost between nodes that are all short, and against late rejections.
TEST(account_limits, give_a_large_account_its_limit_at_six_times_its_usual_rate) {
  account_limits_model model{12, 200, 100, 1};
  model.loss = 0.03;
  for (auto& each : model.nodes) {
    each.demand_per_second = 100;
  }
  model.run_for(30'000);
  EXPECT_GE(model.admissions.size(), 0.9 * 200 * 30);
  EXPECT_LE(static_cast<double>(model.most_in_a_window()), model.bound(200, 100));
}

TEST(account_limits, ignore_a_grant_that_is_late_or_was_received_before) {
  account_limits_model model{3, 30, 30, 1};
  auto& limits = *model.nodes[0].limits;
  const time_point begin{1000};
  account_admission last{account_admission::admitted};
  while (last == account_admission::admitted) {
    last = limits.try_admit(model.account, begin).admission;
  }
  ASSERT_EQ(last, account_admission::waits);
  const auto asks = limits.take_asks(begin);
  ASSERT_EQ(asks.size(), 2);
  const auto answer = [](const account_ask& ask) {
    return account_grant{ask.account, ask.thousandths, ask.nonce};
  };
  // A new snapshot with the same accounts must not make the grants that are under way worthless.
  limits.set_accounts(model.table, begin + duration{50});
  EXPECT_TRUE(limits.on_grant(answer(asks[0].ask), begin + duration{100}));
  EXPECT_FALSE(limits.on_grant(answer(asks[0].ask), begin + duration{101}));
  EXPECT_FALSE(limits.on_grant(answer(asks[1].ask), begin + duration{401}));
}

// Guards against a giver that keeps the tokens it sends.
TEST(account_limits, subtract_what_they_grant) {
  account_limits_model model{3, 30, 30, 1};
  auto& giver = *model.nodes[0].limits;
  const time_point now{100'000};
  const auto tokens = [&] { return giver.usage(now).front().tokens; };
  ASSERT_EQ(giver.on_ask({stable_hash("a"), 1000, 1}, now)->thousandths, 1000);
  const auto before = tokens();
  ASSERT_EQ(giver.on_ask({stable_hash("a"), 2000, 2}, now)->thousandths, 2000);
  EXPECT_NEAR(tokens(), before - 2, 1e-9);
}

// Guards against a giver that refills while its tokens lie unused at others.
TEST(account_bucket, counts_given_tokens_against_the_cap_until_they_expire) {
  account_bucket bucket{{100, 10, 10, 2, duration{400}}, time_point{0}};
  bucket.give(10, time_point{0});
  EXPECT_NEAR(bucket.tokens(time_point{399}), 2, 1e-9);
  EXPECT_NEAR(bucket.tokens(time_point{1000}), 10, 1e-9);
}

// Guards against received tokens that stay after they have expired, or are lost although there is room.
TEST(account_bucket, keeps_received_tokens_above_the_cap_until_they_expire) {
  account_bucket bucket{{0.001, 2, 1, 0, duration{400}}, time_point{0}};
  bucket.receive(5, time_point{400}, time_point{0});
  EXPECT_NEAR(bucket.tokens(time_point{399}), 6, 1e-9);
  EXPECT_NEAR(bucket.tokens(time_point{400}), 2, 1e-9);
}

TEST(account_limits, do_not_apply_to_accounts_without_a_limit) {
  account_limits_model model{3, 0, 0, 1};
  for (int i = 0; i < 1000; ++i) {
    EXPECT_EQ(model.nodes[0].limits->try_admit(model.account, time_point{1000}).admission,
              account_admission::admitted);
  }
  EXPECT_EQ(model.nodes[0].limits->tracked_accounts(), 0);
}

// Guards against memory that grows with the accounts that were ever used.
TEST(account_limits, forget_an_account_that_is_idle) {
  account_limits_model model{3, 30, 30, 1};
  model.nodes[0].demand_per_second = 20;
  model.run_for(2'000);
  EXPECT_EQ(model.nodes[0].limits->tracked_accounts(), 1);
  model.nodes[0].demand_per_second = 0;
  model.run_for(20'000);
  EXPECT_EQ(model.nodes[0].limits->tracked_accounts(), 0);
}

}  // namespace
