// The pace of servers that start or recover: alone, many at once, slow, flapping, and seen by many nodes.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "zinnia/routing/backend_table.hpp"

using namespace zinnia;

namespace {

constexpr int slot_count = 4;

/// Answers `answers` requests one after the other at full concurrency and returns the limit.
double answer(recovery_pace& pace, int answers, double slowness, time_point& now) {
  for (int i = 0; i < answers; ++i) {
    now = now + duration{100};
    pace.on_answer(slowness, slot_count, duration{100}, now);
  }
  return pace.limit();
}

TEST(recovery_pace, a_fast_server_reaches_its_share_within_a_few_answers) {
  recovery_pace pace;
  time_point now{1000};
  pace.begin(now, duration{0});
  EXPECT_TRUE(pace.admits(0, now));
  EXPECT_FALSE(pace.admits(1, now)) << "a server that has just started must not be flooded";
  EXPECT_EQ(answer(pace, 3, 1, now), slot_count);
  answer(pace, slot_count, 1, now);
  EXPECT_FALSE(pace.is_active()) << "a recovered server must not be held back";
}

TEST(recovery_pace, a_server_that_answers_too_late_gets_fewer_requests_and_returns_slowly) {
  recovery_pace pace;
  time_point now{1000};
  pace.begin(now, duration{0});
  answer(pace, 3, 1, now);
  EXPECT_EQ(answer(pace, 1, 8, now), 2);
  EXPECT_LT(answer(pace, 1, 1, now), 3) << "beyond the threshold the limit grows by one each round";
  for (int i = 0; i < 20; ++i) {
    answer(pace, 1, 8, now);
  }
  EXPECT_EQ(pace.limit(), 1);
  EXPECT_TRUE(pace.admits(0, now)) << "one request stays possible, or the server could never return";
}

TEST(recovery_pace, failures_of_one_round_count_once) {
  recovery_pace pace;
  time_point now{1000};
  pace.begin(now, duration{0});
  answer(pace, 3, 1, now);
  now = now + duration{1000};
  for (int i = 0; i < slot_count; ++i) {
    pace.on_failure(duration{100}, now);
  }
  EXPECT_EQ(pace.limit(), slot_count / 2.0);
}

TEST(recovery_pace, a_server_that_is_twice_as_slow_as_others_is_not_held_back_for_good) {
  recovery_pace pace;
  time_point now{1000};
  pace.begin(now, duration{0});
  answer(pace, 20, 2, now);
  EXPECT_FALSE(pace.is_active());
}

/// One service of several servers at one node.
class paced_servers : public testing::Test {
 protected:
  void SetUp() override {
    this->desk_route.prefix = "/x/";
    this->snapshot.services[this->desk] = {this->desk, "/health", 100, 5};
    this->set_policy("by-answers");
    for (int i = 0; i < 4; ++i) {
      this->declare("b" + std::to_string(i));
    }
    this->apply();
  }
  void set_policy(const std::string& policy) {
    auto tree = settings_tree::parse(
        {"e", "t", "settings: {recovery_pace: " + policy + "}\nplaces: {r: {domains: {d: {}}}}\n", {}}, "t");
    ASSERT_TRUE(tree) << tree.last_error().describe();
    this->snapshot.tree = std::make_shared<const settings_tree>(std::move(tree).value());
  }
  void declare(const std::string& id, std::int64_t started = 1) {
    backend_declaration backend;
    backend.id = backend_id{id};
    backend.service = this->desk;
    backend.domain = failure_domain_id{"d"};
    backend.slots = slot_count;
    backend.started_unix_ms = started;
    this->snapshot.backends[backend.id] = backend;
  }
  void apply() {
    ++this->snapshot.sequence;
    this->table.apply(this->snapshot, this->now);
  }
  [[nodiscard]] std::shared_ptr<backend_state> server(const std::string& id) const {
    return this->table.find(backend_id{id});
  }
  /// Sends requests until the server admits no more, and returns how many.
  int fill(backend_state& backend) {
    int sent = 0;
    while (sent < 100 && this->table.is_eligible(backend, this->now) &&
           this->table.has_capacity(backend, this->now)) {
      backend.on_sent(this->now);
      ++sent;
    }
    return sent;
  }
  void end(const std::shared_ptr<backend_state>& backend, backend_outcome outcome, std::int64_t took_ms) {
    placement_decision decision;
    decision.target = backend;
    decision.expected_warmth = warmth::known;
    decision.expected_total = duration{100};
    this->table.record_attempt(
        {this->desk_route, this->desk, decision, std::nullopt, outcome, duration{took_ms}, 1}, this->now);
  }

  const service_id desk{"desk"};
  time_point now{100'000};
  route desk_route;
  routing_snapshot snapshot;
  backend_table table{{failure_domain_id{"d"}, region_id{"r"}}, {{failure_domain_id{"d"}, region_id{"r"}}}};
};

TEST_F(paced_servers, servers_that_ran_before_the_node_started_get_all_requests_at_once) {
  EXPECT_EQ(this->fill(*this->server("b0")), slot_count + 1);
}

TEST_F(paced_servers, a_server_that_joins_or_starts_again_begins_with_one_request) {
  this->declare("b4");
  this->declare("b0", 2);
  this->apply();
  EXPECT_EQ(this->fill(*this->server("b4")), 1);
  EXPECT_EQ(this->fill(*this->server("b0")), 1);
  EXPECT_EQ(this->fill(*this->server("b1")), slot_count + 1);
}

TEST_F(paced_servers, nothing_changes_unless_the_settings_ask_for_it) {
  this->set_policy("off");
  this->declare("b4");
  this->apply();
  EXPECT_EQ(this->fill(*this->server("b4")), slot_count + 1);
}

TEST_F(paced_servers, a_failure_domain_that_is_back_at_once_is_not_flooded) {
  for (const auto& backend : this->table.all()) {
    backend->suspend(duration{0}, this->now);
    backend->on_health_check(true, duration{0}, this->now);
  }
  int sent = 0;
  for (const auto& backend : this->table.all()) {
    sent += this->fill(*backend);
  }
  EXPECT_EQ(sent, 4);
  int rounds = 0;
  while (rounds < 20 && this->server("b0")->recovery().is_active()) {
    this->now = this->now + duration{100};
    while (this->server("b0")->in_flight() > 0) {
      this->end(this->server("b0"), backend_outcome::responded, 100);
    }
    this->fill(*this->server("b0"));
    ++rounds;
  }
  EXPECT_LE(rounds, 4) << "a server that keeps up must not be left idle";
  EXPECT_EQ(this->table.take_recovery_times().size(), 1);
}

/// A server that goes down and up by turns costs one request each time, not its slots.
TEST_F(paced_servers, a_flapping_server_costs_one_request_each_time) {
  const auto flapping = this->server("b0");
  for (int turn = 0; turn < 5; ++turn) {
    flapping->suspend(duration{0}, this->now);
    flapping->on_health_check(true, duration{0}, this->now);
    EXPECT_EQ(this->fill(*flapping), 1);
    this->end(flapping, backend_outcome::no_response, 500);
    this->now = this->now + duration{1400};
  }
}

TEST_F(paced_servers, while_all_servers_are_slow_a_recovering_one_is_not_held_back) {
  for (int i = 0; i < 200; ++i) {
    const auto& usual = this->server(i % 2 == 0 ? "b1" : "b2");
    usual->on_sent(this->now);
    this->end(usual, backend_outcome::responded, i < 100 ? 100 : 900);
  }
  this->declare("b4");
  this->apply();
  const auto joined = this->server("b4");
  for (int i = 0; i < 12; ++i) {
    joined->on_sent(this->now);
    this->end(joined, backend_outcome::responded, 900);
  }
  EXPECT_FALSE(joined->recovery().is_active());
}

TEST_F(paced_servers, a_cold_server_stays_within_the_bound_for_all_nodes) {
  this->table.set_cold_limits({1.5, 8});
  this->declare("b4");
  this->snapshot.backends[backend_id{"b4"}].cold_until = this->now + duration{3000};
  this->apply();
  const node_id self{"n"};
  this->table.set_nodes({{self, {failure_domain_id{"d"}, region_id{"r"}}}}, {region_id{"r"}}, self,
                        this->now);
  const auto cold = this->server("b4");
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    this->now = this->now + duration{10};
    if (this->table.is_eligible(*cold, this->now)) {
      cold->on_sent(this->now);
      this->end(cold, backend_outcome::responded, 10);
      ++sent;
    }
  }
  EXPECT_GT(sent, 4) << "a cold server that keeps up gets more than the fixed rate";
  EXPECT_LT(2 * sent, 5 * 1.5 + 8) << "two nodes that warm it at once exceed the bound";
}

/// 300 nodes see a server return at the same moment; each sends its first request at a time of its own.
TEST_F(paced_servers, many_nodes_do_not_return_at_the_same_moment) {
  std::map<node_id, location> nodes;
  for (int i = 0; i < 300; ++i) {
    nodes[node_id{"n" + std::to_string(i)}] = {failure_domain_id{"d"}, region_id{"r"}};
  }
  std::vector<int> first_requests(40, 0);
  for (const auto& [self, where] : nodes) {
    backend_table other{{failure_domain_id{"d"}, region_id{"r"}}, {{failure_domain_id{"d"}, region_id{"r"}}}};
    other.apply(this->snapshot, this->now);
    other.set_nodes(nodes, {region_id{"r"}}, self, this->now);
    const auto backend = other.find(backend_id{"b0"});
    backend->suspend(duration{0}, this->now);
    backend->on_health_check(true, duration{0}, this->now);
    auto at = this->now;
    while (!other.is_eligible(*backend, at)) {
      at = at + duration{10};
    }
    ++first_requests.at(static_cast<std::size_t>((at - this->now).ms / 100));
  }
  EXPECT_LT(*std::max_element(first_requests.begin(), first_requests.end()), 30)
      << "requests of all nodes in a tenth of a second";
}

}  // namespace
