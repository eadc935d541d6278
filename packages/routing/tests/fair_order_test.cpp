// Plays a queue with too little room, which one account fills, and checks what each account's callers get.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "zinnia/routing/wait_queue.hpp"

using namespace zinnia;

namespace {

constexpr int small_accounts = 20;
constexpr std::uint64_t hot_account = 1000;
/// A tenth of a second of work of the server.
constexpr int served_per_step = 10;
/// Requests that can wait without missing their deadline.
constexpr int max_ahead = 60;

struct outcome {
  int sent{0};
  int served{0};
  [[nodiscard]] double fraction() const {
    return this->sent == 0 ? 1 : static_cast<double>(this->served) / this->sent;
  }
};

/// Plays 10 s in which the hot account sends `hot_per_step` requests in each step and each small one a
/// request every fourth step, 5 a step together.
[[nodiscard]] std::map<std::uint64_t, outcome> play(bool is_fair, int hot_per_step) {
  wait_queue queue;
  std::map<std::uint64_t, outcome> outcomes;
  std::map<wait_ticket, std::uint64_t> waiting;
  wait_ticket next{1};
  time_point now{0};
  const auto arrive = [&](std::uint64_t account) {
    const auto share = is_fair ? std::optional{fair_share{account, 1}} : std::nullopt;
    ++outcomes[account].sent;
    if (queue.count_ahead({}, share) >= max_ahead) {
      return;
    }
    queue.push({next, {}, now, far_future, share});
    waiting[next++] = account;
  };
  for (int step = 0; step < 100; ++step) {
    now = now + duration{100};
    for (int i = 0; i < hot_per_step; ++i) {
      arrive(hot_account);
    }
    for (int i = step % 4; i < small_accounts; i += 4) {
      arrive(static_cast<std::uint64_t>(i));
    }
    for (int i = 0; i < served_per_step; ++i) {
      if (const auto served = queue.pop()) {
        ++outcomes[waiting[served->ticket]].served;
      }
    }
  }
  return outcomes;
}

TEST(fair_order, an_account_at_many_times_its_usual_takes_no_room_from_the_others) {
  auto by_arrival = play(false, 60);
  auto fair = play(true, 60);
  double worst_by_arrival = 1;
  for (std::uint64_t account = 0; account < small_accounts; ++account) {
    worst_by_arrival = std::min(worst_by_arrival, by_arrival[account].fraction());
    EXPECT_GE(fair[account].fraction(), 0.9) << "account " << account;
  }
  EXPECT_LT(worst_by_arrival, 0.25) << "the load no longer shows the fault";
  EXPECT_GE(fair[hot_account].served, 400) << "room that the others leave is not used";
}

TEST(fair_order, while_there_is_room_for_all_everyone_is_served) {
  for (const auto& [account, got] : play(true, served_per_step - small_accounts / 4)) {
    EXPECT_EQ(got.fraction(), 1) << "account " << account;
  }
}

TEST(fair_order, an_account_alone_is_served_in_the_order_of_arrival) {
  wait_queue queue;
  for (wait_ticket ticket = 1; ticket <= 5; ++ticket) {
    queue.push({ticket, {}, time_point{static_cast<std::int64_t>(ticket)}, far_future, fair_share{7, 1}});
  }
  for (wait_ticket ticket = 1; ticket <= 5; ++ticket) {
    EXPECT_EQ(queue.pop()->ticket, ticket) << "requests of one account in order of arrival";
  }
}

TEST(fair_order, weights_divide_the_room) {
  wait_queue queue;
  for (wait_ticket ticket = 0; ticket < 100; ++ticket) {
    queue.push({ticket, {}, time_point{0}, far_future, fair_share{1, 3}});
    queue.push({1000 + ticket, {}, time_point{0}, far_future, fair_share{2, 1}});
  }
  int of_first = 0;
  for (int i = 0; i < 40; ++i) {
    of_first += queue.pop()->ticket < 1000 ? 1 : 0;
  }
  EXPECT_NEAR(of_first, 30, 1);
}

TEST(fair_order, an_idle_account_saves_no_claim_and_a_request_that_leaves_costs_none) {
  wait_queue queue;
  for (wait_ticket ticket = 1; ticket <= 10; ++ticket) {
    queue.push({ticket, {}, time_point{0}, far_future, fair_share{1, 1}});
  }
  for (int i = 0; i < 5; ++i) {
    EXPECT_TRUE(queue.pop());
  }
  // The account that was idle starts now, not where it would have been: it gets one turn, then both
  // alternate.
  EXPECT_LE(queue.count_ahead({}, fair_share{2, 1}), 1);
  queue.push({20, {}, time_point{1}, far_future, fair_share{2, 1}});
  queue.remove(20);
  EXPECT_LE(queue.count_ahead({}, fair_share{2, 1}), 1);
}

TEST(fair_order, a_more_urgent_request_goes_first_whatever_its_account_has_had) {
  wait_queue queue;
  for (wait_ticket ticket = 1; ticket <= 5; ++ticket) {
    queue.push({ticket, {0, 1}, time_point{0}, far_future, fair_share{ticket, 1}});
    queue.push({100 + ticket, {0, 0}, time_point{5}, far_future, fair_share{9, 1}});
  }
  for (int i = 0; i < 5; ++i) {
    EXPECT_GT(queue.pop()->ticket, 100);
  }
}

TEST(fair_order, forgets_accounts_that_have_no_requests) {
  fair_order order;
  for (std::uint64_t account = 0; account < 1000; ++account) {
    order.serve({}, order.add({}, {account, 1}) + 1);
  }
  EXPECT_LE(order.size(), 2);
}

}  // namespace
