// The parts of the simulation: order of events, servers, the pooled bound, baseline placement and the result.
#include <gtest/gtest.h>

#include "baseline_placement.hpp"
#include "event_queue.hpp"
#include "run_recorder.hpp"
#include "simulated_server.hpp"
#include "slot_pool.hpp"

namespace zinnia::bench {
namespace {

const service_id desk{"desk"};
const failure_domain_id domain{"a"};
const region_id near{"near"};
const region_id far{"far"};

TEST(event_queue, runs_events_by_time_and_those_of_one_time_in_the_order_of_scheduling) {
  event_queue events;
  std::string order;
  events.schedule(20, [&] { order += 'd'; });
  events.schedule(10, [&] {
    order += 'a';
    events.schedule(10, [&] { order += 'c'; });
  });
  events.schedule(10, [&] { order += 'b'; });
  events.schedule(20, [&] {
    order += 'e';
    EXPECT_EQ(events.now(), 20);
  });
  events.run();
  EXPECT_EQ(order, "abcde");
}

TEST(simulated_server, runs_then_queues_then_sheds) {
  simulated_server server{desk, domain, {2, 1, 3}};
  const auto first = std::make_shared<simulated_request>();
  const auto second = std::make_shared<simulated_request>();
  for (std::uint64_t object = 0; object < 2; ++object) {
    EXPECT_EQ(server.admit(first), admission::run);
    EXPECT_FALSE(server.begin_work(object));
  }
  EXPECT_EQ(server.admit(second), admission::wait);
  EXPECT_EQ(server.admit(first), admission::shed);
  EXPECT_EQ(server.take_waiting(), nullptr) << "no slot is free";
  server.end_work();
  EXPECT_EQ(server.take_waiting(), second);
  EXPECT_EQ(server.take_waiting(), nullptr) << "none waits";
}

TEST(simulated_server, remembers_the_latest_objects_and_forgets_all_in_an_outage) {
  simulated_server server{desk, domain, {9, 0, 2}};
  EXPECT_FALSE(server.begin_work(1));
  EXPECT_FALSE(server.begin_work(2));
  EXPECT_TRUE(server.begin_work(1));
  EXPECT_FALSE(server.begin_work(3));
  EXPECT_FALSE(server.begin_work(2)) << "3 took the place of 2";
  EXPECT_TRUE(server.begin_work(3));
  server.set_lost(true);
  EXPECT_TRUE(server.is_lost());
  server.set_lost(false);
  EXPECT_FALSE(server.begin_work(3));
}

TEST(slot_pool, uses_the_slot_that_is_free_first_and_refuses_what_would_end_late) {
  slot_pool pool{2};
  EXPECT_EQ(pool.reserve(0, 100, 1000), 100);
  EXPECT_EQ(pool.reserve(0, 50, 1000), 50);
  EXPECT_EQ(pool.reserve(10, 100, 149), std::nullopt);
  EXPECT_EQ(pool.reserve(10, 100, 150), 150) << "a refusal reserves nothing";
  EXPECT_EQ(pool.reserve(500, 100, 1000), 600);
  EXPECT_EQ(slot_pool{0}.reserve(0, 1, 1000), std::nullopt);
}

class baseline_placement : public testing::Test {
 protected:
  void SetUp() override {
    routing_snapshot snapshot;
    snapshot.sequence = 1;
    snapshot.services[desk] = {desk, "/health", 100, 0};
    for (const std::string id : {"b1", "b2", "b3"}) {
      backend_declaration backend;
      backend.id = backend_id{id};
      backend.service = desk;
      backend.domain = domain;
      snapshot.backends[backend.id] = backend;
    }
    this->table.apply(snapshot, this->now);
  }
  [[nodiscard]] std::map<std::string, int> choose_often(policy selected_policy) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 300; ++i) {
      const auto decision = choose_baseline(selected_policy, this->table, desk, this->now, this->random);
      EXPECT_EQ(decision.action, placement_action::send);
      ++counts[decision.target->declared().id.str()];
    }
    return counts;
  }

  time_point now{1000};
  std::mt19937_64 random{1};
  backend_table table{{domain, near}, {{domain, near}}};
};

TEST_F(baseline_placement, looks_at_load_as_the_policy_says) {
  this->table.find(backend_id{"b1"})->on_sent(this->now);
  EXPECT_EQ(this->choose_often(policy::random).size(), 3U);
  EXPECT_FALSE(this->choose_often(policy::least_load).contains("b1"));
  const auto of_two = this->choose_often(policy::two_choices);
  EXPECT_LT(of_two.at("b1"), of_two.at("b2"));
  EXPECT_GT(of_two.at("b1"), 0) << "both choices can be the same server";
}

TEST_F(baseline_placement, refuses_without_an_eligible_server) {
  for (const auto& backend : this->table.all()) {
    backend->suspend(duration{250}, this->now);
  }
  const auto decision = choose_baseline(policy::random, this->table, desk, this->now, this->random);
  EXPECT_EQ(decision.action, placement_action::refuse);
  EXPECT_EQ(decision.target, nullptr);
}

TEST(run_recorder, credits_requests_by_their_latency) {
  request_class kind;
  kind.name = "k";
  kind.aim_ms = 10;
  kind.worth = 1;
  kind.late_worth = 0.25;
  simulated_request made;
  made.kind = &kind;
  made.domain = domain;
  made.created_at = 0;
  made.deadline = sim_time_from_ms(100);
  run_recorder recorder;
  for (int i = 0; i < 5; ++i) {
    recorder.on_arrival(made);
  }
  recorder.on_end(made, true, sim_time_from_ms(50));
  recorder.on_end(made, true, sim_time_from_ms(10));
  recorder.on_end(made, true, sim_time_from_ms(101));
  recorder.on_end(made, false, sim_time_from_ms(1));
  recorder.on_refusal();
  recorder.on_run(true);
  recorder.on_run(false);
  recorder.on_free_slots(0.5);
  recorder.on_free_slots(1);
  const auto result = recorder.finish();
  EXPECT_EQ(result.requests, 5);
  EXPECT_EQ(result.in_aim, 1);
  EXPECT_EQ(result.late, 1);
  EXPECT_EQ(result.failed, 2);
  EXPECT_EQ(result.refused, 1);
  EXPECT_EQ(result.runs, 2);
  EXPECT_EQ(result.warm_runs, 1);
  EXPECT_DOUBLE_EQ(result.credit, 1.25);
  EXPECT_DOUBLE_EQ(result.max_credit, 5);
  EXPECT_EQ(result.credit_by_class.at("k"), (std::pair{1.25, 5.0}));
  EXPECT_EQ(result.credit_by_domain.at("a"), (std::pair{1.25, 5.0}));
  EXPECT_EQ(result.latencies_ms, (std::vector<double>{10, 50}));
  EXPECT_DOUBLE_EQ(result.free_slot_fraction, 0.75);
}

TEST(run_recorder, finds_the_largest_shift_between_two_windows) {
  run_recorder recorder;
  const auto reach = [&](const region_id& server, int count, double at_ms) {
    for (int i = 0; i < count; ++i) {
      recorder.on_reached(near, server, sim_time_from_ms(at_ms));
    }
  };
  reach(near, 100, 0);
  reach(near, 75, 2'000);
  reach(far, 25, 3'999);
  reach(near, 65, 4'000);
  reach(far, 35, 4'000);
  EXPECT_DOUBLE_EQ(recorder.finish().largest_shift, 0.25);
}

}  // namespace
}  // namespace zinnia::bench
