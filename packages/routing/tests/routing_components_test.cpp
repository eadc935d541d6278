// Route table, wait queue, object set, work estimate, retry budget, traffic split and snapshot builder.
#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "zinnia/routing/lru_object_set.hpp"
#include "zinnia/routing/rendezvous_score.hpp"
#include "zinnia/routing/retry_limiter.hpp"
#include "zinnia/routing/route_table.hpp"
#include "zinnia/routing/snapshot_builder.hpp"
#include "zinnia/routing/wait_queue.hpp"
#include "zinnia/routing/weighted_split.hpp"
#include "zinnia/routing/work_estimate.hpp"

using namespace zinnia;

namespace {

[[nodiscard]] route make_route(const std::string& host, const std::string& prefix) {
  route made;
  made.name = host + prefix;
  made.host = host;
  made.prefix = prefix;
  made.destinations = {{service_id{"desk"}, 1}};
  return made;
}

TEST(route_table, longest_prefix_of_the_host_wins) {
  const route_table table{{make_route("a.example", "/x/"), make_route("a.example", "/x/y/"),
                           make_route("b.example", "/z/"), make_route("", "/any/")}};
  struct row {
    const char* host;
    const char* path;
    const char* expected;
  };
  const std::vector<row> rows{{"a.example", "/x/1", "a.example/x/"},
                              {"a.example", "/x/y/1", "a.example/x/y/"},
                              {"A.Example:8144", "/x/y/", "a.example/x/y/"},
                              {"a.example", "/x", ""},
                              {"a.example", "/z/1", ""},
                              {"b.example", "/z/1", "b.example/z/"},
                              {"c.example", "/any/1", "/any/"},
                              {"c.example", "/x/1", ""}};
  for (const auto& row : rows) {
    const auto* const found = table.find(row.host, row.path);
    EXPECT_EQ(found == nullptr ? "" : found->name, row.expected) << row.host << row.path;
  }
}

TEST(rendezvous_score, follows_weights_and_moves_only_items_of_the_new_candidate) {
  const std::vector<double> weights{1, 1, 2};
  const auto winner = [&](std::uint64_t item, std::size_t candidates) {
    std::size_t best = 0;
    for (std::size_t i = 1; i < candidates; ++i) {
      if (rendezvous_score(i + 1, item, weights[i]) > rendezvous_score(best + 1, item, weights[best])) {
        best = i;
      }
    }
    return best;
  };
  std::vector<int> wins(3);
  for (std::uint64_t item = 0; item < 40'000; ++item) {
    const auto now = winner(item, 3);
    ++wins[now];
    if (now != 2) {
      EXPECT_EQ(now, winner(item, 2));
    }
  }
  EXPECT_NEAR(wins[0], 10'000, 500);
  EXPECT_NEAR(wins[2], 20'000, 500);
}

TEST(wait_queue, orders_by_priority_then_by_arrival) {
  wait_queue queue;
  queue.push({1, {0, 2}, time_point{10}, time_point{100}});
  queue.push({2, {0, 1}, time_point{20}, time_point{100}});
  queue.push({3, {0, 2}, time_point{5}, time_point{100}});
  queue.push({4, {0, 1}, time_point{15}, time_point{100}});
  EXPECT_EQ(queue.count_ahead({0, 1}), 2);
  EXPECT_EQ(queue.count_ahead({0, 2}), 4);
  EXPECT_EQ(queue.count_ahead({1, 0}), 4) << "the account's priority goes before the route's";
  queue.push({5, {1, 0}, time_point{0}, time_point{100}});
  EXPECT_EQ(queue.count_ahead({0, 2}), 4);
  std::vector<wait_ticket> order;
  while (const auto next = queue.pop()) {
    order.push_back(next->ticket);
  }
  EXPECT_EQ(order, (std::vector<wait_ticket>{4, 2, 3, 1, 5}));
}

TEST(wait_queue, entries_past_their_expected_wait_are_reselected) {
  wait_queue queue;
  queue.push({1, {0, 0}, time_point{0}, time_point{50}});
  queue.push({2, {0, 0}, time_point{1}, time_point{150}});
  EXPECT_FALSE(queue.pop_for_reselection(time_point{50}));
  EXPECT_EQ(queue.pop_for_reselection(time_point{51})->ticket, 1U);
  EXPECT_FALSE(queue.pop_for_reselection(time_point{51}));
  queue.remove(2);
  EXPECT_TRUE(queue.empty());
}

TEST(lru_object_set, evicts_the_least_recently_used) {
  lru_object_set memory;
  for (std::uint64_t object = 0; object < 3; ++object) {
    memory.touch(object, 3);
  }
  memory.touch(0, 3);
  memory.touch(3, 3);
  EXPECT_TRUE(memory.contains(0));
  EXPECT_FALSE(memory.contains(1));
  EXPECT_EQ(memory.size(), 3U);
}

/// Homes depend on the response size; they must not change while the size fluctuates around any mean.
TEST(work_estimate, stable_size_ignores_noise_and_follows_significant_changes) {
  for (const double mean : {5.0, 45.0, 90.0, 91.0, 128.0}) {
    work_estimate estimate;
    std::mt19937 random{7};
    std::lognormal_distribution<> sizes{std::log(mean), 0.6};
    for (int i = 0; i < 200; ++i) {
      estimate.record_response_size(sizes(random));
    }
    const double settled = estimate.stable_response_kib();
    int changes = 0;
    for (int i = 0; i < 2000; ++i) {
      estimate.record_response_size(sizes(random));
      changes += estimate.stable_response_kib() != settled ? 1 : 0;
    }
    EXPECT_EQ(changes, 0) << mean;
    for (int i = 0; i < 300; ++i) {
      estimate.record_response_size(3 * mean);
    }
    EXPECT_NEAR(estimate.stable_response_kib(), 3 * mean, mean) << "follows a significant change";
  }
}

TEST(work_estimate, keeps_separate_averages_for_warm_and_cold_work) {
  work_estimate estimate;
  for (int i = 0; i < 100; ++i) {
    estimate.record_work_time(warmth::known, 70);
    estimate.record_work_time(warmth::none, 250);
  }
  EXPECT_NEAR(estimate.warm_ms(), 70, 2);
  EXPECT_NEAR(estimate.cold_ms(), 250, 2);
  EXPECT_NEAR(estimate.expected_ms(warmth::presumed), 250, 2) << "no presumed hit has been recorded yet";
  for (int i = 0; i < 100; ++i) {
    estimate.record_work_time(warmth::presumed, i % 4 == 0 ? 240 : 75);
  }
  EXPECT_NEAR(estimate.expected_ms(warmth::presumed), 250 - 0.75 * 180, 20);
  EXPECT_NEAR(estimate.warm_ms(), 70, 2) << "presumed hits do not change the warm average";
}

/// Simulates an outage in which every request fails and asks for retries at once.
struct retry_history {
  std::vector<std::int64_t> requests;
  std::vector<std::int64_t> retries;

  /// Checks the budget in every window; returns the largest number of retries in one.
  [[nodiscard]] std::int64_t check(const retry_budget_settings& budget, double extra,
                                   std::int64_t length_ms) const {
    std::int64_t most = 0;
    for (std::int64_t start = 0; start + budget.window.ms <= length_ms; start += 100) {
      const auto count = [&](const std::vector<std::int64_t>& times) {
        return std::count_if(times.begin(), times.end(),
                             [&](std::int64_t at) { return at >= start && at < start + budget.window.ms; });
      };
      const auto retried = count(this->retries);
      most = std::max<std::int64_t>(most, retried);
      EXPECT_LE(static_cast<double>(retried),
                budget.ratio * static_cast<double>(count(this->requests)) + extra)
          << start;
    }
    return most;
  }
};

TEST(retry_limiter, a_node_that_does_not_know_the_others_makes_only_retries_that_its_requests_earn) {
  const retry_budget_settings budget{0.2, 200, duration{10'000}};
  retry_limiter limiter;
  constexpr int requests = 100;
  for (int i = 0; i < requests; ++i) {
    limiter.on_request(budget, time_point{1000});
  }
  int retries = 0;
  while (limiter.try_consume(budget, 0, time_point{1000})) {
    ++retries;
  }
  EXPECT_GT(retries, 0);
  EXPECT_LE(retries, 20);
}

TEST(retry_limiter, all_nodes_together_stay_within_the_budget_in_any_window) {
  const retry_budget_settings budget{0.2, 58, duration{10'000}};
  constexpr int nodes = 9;
  constexpr std::int64_t length_ms = 60'000;
  std::vector<retry_limiter> limiters(nodes);
  retry_history all;
  for (std::int64_t now = 0; now < length_ms; now += 2) {
    auto& limiter = limiters[static_cast<std::size_t>(now / 2) % nodes];
    // Traffic pauses, so the whole share is left when it resumes.
    if (now > 20'000 && now < 32'000) {
      continue;
    }
    all.requests.push_back(now);
    limiter.on_request(budget, time_point{now});
    while (limiter.try_consume(budget, nodes, time_point{now})) {
      all.retries.push_back(now);
    }
  }
  static_cast<void>(all.check(budget, budget.extra_per_window, length_ms));
  EXPECT_GT(all.retries.size(), all.requests.size() / 10) << "a useful fraction of the budget is spent";
}

TEST(retry_limiter, a_share_that_grows_suddenly_is_not_counted_for_the_time_before) {
  const retry_budget_settings budget{0.2, 720, duration{10'000}};
  retry_limiter limiter;
  time_point now{60'000};
  const auto consume_all = [&](int nodes) {
    int taken = 0;
    while (limiter.try_consume(budget, nodes, now)) {
      ++taken;
    }
    return taken;
  };
  EXPECT_EQ(consume_all(36), 10);
  now = now + budget.window;
  EXPECT_EQ(consume_all(1), 10);
}

/// Restarted nodes forget what they have used.
TEST(retry_limiter, a_restart_of_all_nodes_stays_within_the_budget) {
  const retry_budget_settings budget{0.2, 58, duration{10'000}};
  constexpr int nodes = 9;
  constexpr std::int64_t length_ms = 30'000;
  std::vector<retry_limiter> limiters(nodes);
  retry_history all;
  for (std::int64_t now = 0; now < length_ms; now += 2) {
    if (now == 14'000) {
      limiters.assign(nodes, {});
    }
    auto& limiter = limiters[static_cast<std::size_t>(now / 2) % nodes];
    all.requests.push_back(now);
    limiter.on_request(budget, time_point{now});
    while (limiter.try_consume(budget, nodes, time_point{now})) {
      all.retries.push_back(now);
    }
  }
  static_cast<void>(all.check(budget, budget.extra_per_window, length_ms));
}

/// Load: few of many nodes carry the callers, and their servers shed. What their requests earn is theirs to
/// use, also when it was earned seconds before.
TEST(retry_limiter, a_busy_node_uses_what_its_requests_earn) {
  const retry_budget_settings budget{0.2, 430, duration{10'000}};
  constexpr int nodes = 195;
  constexpr std::int64_t length_ms = 30'000;
  retry_limiter limiter;
  retry_history own;
  for (std::int64_t now = 0; now < length_ms; now += 10) {
    own.requests.push_back(now);
    limiter.on_request(budget, time_point{now});
    // The servers shed for two seconds.
    const bool is_shedding = now >= 15'000 && now < 17'000;
    if (is_shedding && limiter.try_consume(budget, nodes, time_point{now})) {
      own.retries.push_back(now);
    }
  }
  EXPECT_GT(own.check(budget, budget.extra_per_window / nodes, length_ms), 100) << "of 200 requests";
}

TEST(weighted_split, every_block_of_requests_is_divided_exactly) {
  auto matched_route = make_route("a", "/x/");
  matched_route.destinations = {{service_id{"big"}, 90}, {service_id{"small"}, 10}};
  weighted_split split;
  for (int block = 0; block < 5; ++block) {
    int small = 0;
    for (int i = 0; i < 20; ++i) {
      small += split.pick(matched_route) == service_id{"small"} ? 1 : 0;
    }
    EXPECT_EQ(small, 2);
  }
}

[[nodiscard]] backend_declaration make_backend(const std::string& id, backend_mode mode) {
  backend_declaration made;
  made.id = backend_id{id};
  made.service = service_id{"desk"};
  made.domain = failure_domain_id{"near-a"};
  made.mode = mode;
  return made;
}

TEST(snapshot_builder, never_goes_back_to_an_older_configuration) {
  snapshot_builder builder{{}};
  EXPECT_TRUE(builder.set_configuration({config_version{12}, {make_route("a", "/new/")}, {}}));
  EXPECT_FALSE(builder.set_configuration({config_version{11}, {make_route("a", "/old/")}, {}}));
  EXPECT_FALSE(builder.set_configuration({config_version{12}, {make_route("a", "/old/")}, {}}));
  const auto snapshot = builder.publish();
  EXPECT_EQ(snapshot->version, config_version{12});
  EXPECT_NE(snapshot->routes->find("a", "/new/1"), nullptr);
  EXPECT_EQ(builder.publish(), nullptr);
}

TEST(snapshot_builder, keeps_expired_ready_servers_for_a_grace_period_and_removes_draining_ones_at_once) {
  snapshot_builder builder{{}};
  builder.set_backend(make_backend("lapsed", backend_mode::ready));
  builder.set_backend(make_backend("gone", backend_mode::ready));
  builder.set_backend(make_backend("leaving", backend_mode::draining));
  builder.remove_backend(backend_id{"lapsed"}, time_point{0}, duration{1000});
  builder.remove_backend(backend_id{"gone"}, time_point{0}, duration{1000});
  builder.remove_backend(backend_id{"leaving"}, time_point{0}, duration{1000});
  EXPECT_EQ(builder.publish()->backends.size(), 2U);
  builder.set_backend(make_backend("lapsed", backend_mode::ready));
  EXPECT_EQ(builder.next_removal(), time_point{1000});
  builder.apply_due_changes(time_point{1000}, 0);
  const auto snapshot = builder.publish();
  EXPECT_EQ(snapshot->backends.size(), 1U);
  EXPECT_TRUE(snapshot->backends.contains(backend_id{"lapsed"}));
}

TEST(snapshot_builder, a_settings_tree_declares_routes_and_servers) {
  const std::string text =
      "places: {near: {domains: {near-a: {}}}}\n"
      "services: {desk: {regions: {near: {domains: {near-a: {upstreams: ['127.0.0.1:9101']}}}}}}\n";
  const auto tree = settings_tree::parse({"e", "t", text, {}}, "t");
  ASSERT_TRUE(tree);
  snapshot_builder builder{{}};
  builder.set_tree(std::make_shared<const settings_tree>(*tree));
  const auto snapshot = builder.publish();
  const auto* const matched_route = snapshot->routes->find("any.example", "/v1/services/desk/bookings");
  ASSERT_NE(matched_route, nullptr);
  EXPECT_EQ(matched_route->stripped_prefix_length, std::string{"/v1/services/desk"}.size());
  EXPECT_TRUE(is_repeatable(matched_route->kind, "GET"));
  EXPECT_FALSE(is_repeatable(matched_route->kind, "POST"));
  EXPECT_EQ(snapshot->backends.at(backend_id{"127.0.0.1:9101"}).address.port, 9101);
}

}  // namespace
