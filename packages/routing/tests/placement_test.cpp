// Placement with object affinity, overload, slow and failing servers, cold starts, evacuations and drains.
#include <gtest/gtest.h>

#include <functional>
#include <random>

#include "zinnia/routing/backend_table.hpp"

using namespace zinnia;

namespace {

const failure_domain_id near_a{"near-a"};
const failure_domain_id near_b{"near-b"};
const failure_domain_id far_a{"far-a"};
const region_id near{"near"};
const region_id far{"far"};
const service_id desk{"desk"};

class placement : public testing::Test {
 protected:
  void SetUp() override {
    this->test_route.prefix = "/x/";
    this->test_route.target_latency = duration{300};
    this->snapshot.services[desk] = {desk, "/health", 100, 10};
  }
  backend_declaration& add(const std::string& id, const failure_domain_id& domain, int slots = 3) {
    backend_declaration backend;
    backend.id = backend_id{id};
    backend.service = desk;
    backend.domain = domain;
    backend.slots = slots;
    return this->snapshot.backends[backend.id] = backend;
  }
  void use_tree(const std::string& settings) {
    auto tree = settings_tree::parse(
        {"e", "t", settings + "places: {near: {domains: {near-a: {}, near-b: {}}}}\n", {}}, "t");
    ASSERT_TRUE(tree) << tree.last_error().describe();
    this->snapshot.tree = std::make_shared<const settings_tree>(std::move(tree).value());
  }
  void apply() {
    ++this->snapshot.sequence;
    this->table.apply(this->snapshot, this->now);
  }
  [[nodiscard]] placement_request request(std::optional<std::uint64_t> object,
                                          std::int64_t deadline_ms = 1000) const {
    placement_request made;
    made.matched_route = &this->test_route;
    made.service = desk;
    made.object = object;
    made.deadline = this->now + duration{deadline_ms};
    return made;
  }
  [[nodiscard]] std::string chosen(std::optional<std::uint64_t> object) {
    const auto decision = this->table.choose(this->request(object), this->now);
    return decision.target == nullptr ? "" : decision.target->declared().id.str();
  }

  time_point now{100'000};
  route test_route;
  routing_snapshot snapshot;
  backend_table table{{near_a, near}, {{near_a, near}, {near_b, near}, {far_a, far}}};
};

TEST_F(placement, a_new_server_takes_objects_and_the_others_stay) {
  for (int i = 0; i < 6; ++i) {
    this->add("b" + std::to_string(i), near_a);
  }
  this->apply();
  std::map<std::uint64_t, std::string> homes;
  for (std::uint64_t object = 0; object < 100; ++object) {
    homes[object] = this->chosen(object);
  }
  this->add("b6", near_a);
  this->apply();
  int moved = 0;
  for (const auto& [object, home] : homes) {
    const auto next = this->chosen(object);
    moved += next != home ? 1 : 0;
    EXPECT_TRUE(next == home || next == "b6");
  }
  EXPECT_GT(moved, 0);
  EXPECT_LT(moved, 30) << "about one in seven objects moves to the new server";
}

/// Responses of a cold server show its slowness; the assumed slowness must not be multiplied with it.
TEST_F(placement, the_slowness_of_a_cold_server_counts_once) {
  this->add("b0", near_a).cold_until = this->now + duration{10'000};
  this->apply();
  const node_id self{"n"};
  this->table.set_nodes({{self, {near_a, near}}}, {near}, self, this->now);
  const auto expected_work = [&] {
    return this->table.choose(this->request(std::nullopt), this->now).expected_work;
  };
  const auto assumed = expected_work();
  const auto& backend = this->table.all().front();
  for (int i = 0; i < 40; ++i) {
    backend->on_sent(this->now - duration{5'000});
    backend->on_ended(backend_outcome::responded, duration{200}, duration{100}, this->now);
  }
  EXPECT_NEAR(static_cast<double>(expected_work().ms), static_cast<double>(assumed.ms), 3.0);
}

TEST_F(placement, refuses_at_once_if_no_server_can_respond_in_time) {
  for (int i = 0; i < 4; ++i) {
    this->add("b" + std::to_string(i), near_a, 1);
  }
  this->apply();
  // All four servers are busy, so the service has no spare capacity for spillover.
  for (const auto& backend : this->table.all()) {
    for (int i = 0; i < 12; ++i) {
      backend->on_sent(this->now);
    }
  }
  const auto decision = this->table.choose(this->request(7, 300), this->now);
  EXPECT_EQ(decision.action, placement_action::refuse);
  EXPECT_EQ(decision.refusal_reason, reason::wait_exceeds_deadline);
  EXPECT_GT(decision.retry_after.ms, 0);
}

TEST_F(placement, objects_spill_over_only_while_the_service_has_spare_capacity) {
  for (int i = 0; i < 12; ++i) {
    this->add("b" + std::to_string(i), near_a, 1);
  }
  this->use_tree("settings: {homes_per_object: 2}\n");
  this->apply();
  const std::uint64_t object = 7;
  std::set<std::string> homes;
  // Enough requests that neither home can respond within the deadline below, and few enough that the service
  // has spare capacity.
  for (int sent = 0; sent < 6; ++sent) {
    const auto decision = this->table.choose(this->request(object), this->now);
    ASSERT_NE(decision.target, nullptr);
    homes.insert(decision.target->declared().id.str());
    decision.target->on_sent(this->now);
  }
  ASSERT_EQ(homes.size(), 2U);
  const auto spilled = this->table.choose(this->request(object, 320), this->now);
  ASSERT_NE(spilled.target, nullptr);
  EXPECT_FALSE(homes.contains(spilled.target->declared().id.str()));
  // The same service under load: the request waits at the object's homes or is refused.
  for (const auto& backend : this->table.all()) {
    backend->on_sent(this->now);
  }
  const auto full = this->table.choose(this->request(object, 400), this->now);
  EXPECT_EQ(full.action, placement_action::refuse);
}

/// Simulates requests for more objects than one server holds, at a rate that only warm servers can sustain.
/// Without object affinity nearly every request would be a miss.
TEST_F(placement, high_load_keeps_most_requests_on_servers_that_hold_the_object) {
  for (int i = 0; i < 8; ++i) {
    this->add("b" + std::to_string(i), near_a, 3);
  }
  this->apply();
  struct in_flight_request {
    time_point ends;
    std::shared_ptr<backend_state> at;
    placement_decision decision;
    std::uint64_t object;
  };
  std::mt19937_64 random{42};
  std::vector<in_flight_request> in_flight;
  std::map<std::string, lru_object_set> server_memory;
  int hits = 0;
  int served = 0;
  int request_count = 0;
  const auto start = this->now;
  while (this->now < start + duration{30'000}) {
    this->now = this->now + duration{1};
    for (auto at = in_flight.begin(); at != in_flight.end();) {
      if (this->now < at->ends) {
        ++at;
        continue;
      }
      at->at->on_ended(backend_outcome::responded, at->decision.expected_work, at->decision.expected_total,
                       this->now);
      at->at->objects.touch(at->object, 40);
      at = in_flight.erase(at);
    }
    // 250 requests per second of 72 ms occupy 18 of 24 slots; at 240 ms they would need 60.
    if (random() % 4 != 0) {
      continue;
    }
    ++request_count;
    const std::uint64_t object = random() % 160;
    const auto decision = this->table.choose(this->request(object, 800), this->now);
    if (decision.action != placement_action::send) {
      continue;
    }
    auto& memory = server_memory[decision.target->declared().id.str()];
    const bool hit = memory.contains(object);
    memory.touch(object, 43);
    hits += hit ? 1 : 0;
    ++served;
    decision.target->on_sent(this->now);
    in_flight.push_back({this->now + duration{hit ? 72 : 240}, decision.target, decision, object});
  }
  EXPECT_GT(hits, served * 85 / 100) << "of " << served;
  EXPECT_GT(served, request_count * 85 / 100);
}

TEST_F(placement, uses_another_region_only_if_it_responds_sooner) {
  this->add("n", near_a, 1);
  this->add("f", far_a, 1);
  this->apply();
  EXPECT_EQ(this->chosen(std::nullopt), "n");
  for (int i = 0; i < 4; ++i) {
    this->table.find(backend_id{"n"})->on_sent(this->now);
  }
  EXPECT_EQ(this->chosen(std::nullopt), "f");
}

TEST_F(placement, large_responses_prefer_the_own_domain) {
  this->use_tree(
      "settings: {own_domain_weight: 4, own_region_weight: 4, domain_transfer_us_per_kib: 8000}\n");
  for (int i = 0; i < 4; ++i) {
    this->add("a" + std::to_string(i), near_a);
    this->add("b" + std::to_string(i), near_b);
  }
  this->apply();
  const auto own_domain_count = [&] {
    int count = 0;
    for (std::uint64_t object = 0; object < 200; ++object) {
      count += this->chosen(object).starts_with("a") ? 1 : 0;
    }
    return count;
  };
  const int before = own_domain_count();
  for (int i = 0; i < 50; ++i) {
    this->table.estimate(this->test_route, desk).record_response_size(90);
  }
  EXPECT_GT(own_domain_count(), std::max(before, 180));
}

/// Estimates change slightly all the time; the fraction of objects with homes in another region must not
/// jump. The accepted change is 0.15 (`maxShift`) within 2 s, in which an estimate changes by far more than
/// one step of this test.
TEST_F(placement, region_shares_follow_estimates_in_small_steps) {
  this->use_tree("settings: {own_domain_weight: 2, own_region_weight: 2}\n");
  for (int i = 0; i < 4; ++i) {
    this->add("n" + std::to_string(i), near_a);
    this->add("f" + std::to_string(i), far_a);
    this->add("g" + std::to_string(i), far_a);
  }
  this->apply();
  const auto far_fraction = [this] {
    int count = 0;
    constexpr int objects = 1000;
    for (std::uint64_t object = 0; object < objects; ++object) {
      count += this->chosen(object).starts_with("n") ? 0 : 1;
    }
    return static_cast<double>(count) / objects;
  };
  constexpr double max_change = 0.15;
  const auto check = [&](const char* what, const std::function<void(double)>& learn, double from, double to,
                         double step) {
    for (int i = 0; i < 300; ++i) {
      learn(from);
    }
    double before = far_fraction();
    for (double value = from; value < to; value += step) {
      learn(value);
      const double part = far_fraction();
      EXPECT_LE(std::abs(part - before), max_change / 3) << what << " " << value;
      before = part;
    }
  };
  auto& estimate = this->table.estimate(this->test_route, desk);
  check(
      "warm work, ms", [&](double ms) { estimate.record_work_time(warmth::known, ms); }, 100, 400, 5);
  check(
      "response, KiB", [&](double kib) { estimate.record_response_size(kib); }, 20, 200, 2);
}

TEST_F(placement, avoids_failing_servers_until_failures_decay) {
  this->add("good", near_a);
  this->add("bad", near_a);
  this->apply();
  const auto bad = this->table.find(backend_id{"bad"});
  for (int i = 0; i < 20; ++i) {
    bad->on_sent(this->now);
    bad->on_ended(backend_outcome::bad_response, duration{60}, duration{60}, this->now);
  }
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(this->chosen(std::nullopt), "good");
  }
  // The failure ratio decays, so the server is tried again.
  EXPECT_GT(bad->failure_ratio(this->now), 0.9);
  EXPECT_LT(bad->failure_ratio(this->now + duration{20'000}), 0.1);
}

TEST_F(placement, an_unreachable_server_gets_no_requests_until_a_health_check_succeeds) {
  this->add("a", near_a);
  this->apply();
  const auto backend = this->table.find(backend_id{"a"});
  backend->on_sent(this->now);
  backend->on_ended(backend_outcome::unreachable, duration{1}, duration{60}, this->now);
  EXPECT_EQ(this->chosen(1), "");
  this->now = this->now + duration{300};
  ASSERT_EQ(this->table.due_for_health_check(this->now).size(), 1U);
  backend->on_health_check_started();
  EXPECT_TRUE(this->table.due_for_health_check(this->now).empty());
  backend->on_health_check(true, duration{0}, this->now);
  EXPECT_EQ(this->chosen(1), "a");
}

/// Entries expire while the store is away, and return with it.
TEST_F(placement, a_server_that_said_it_was_leaving_gets_nothing_until_it_starts_again) {
  this->add("a", near_a).started_unix_ms = 1;
  this->apply();
  ASSERT_EQ(this->chosen(1), "a");
  backend_statement statement;
  statement.is_leaving = true;
  this->table.find(backend_id{"a"})->on_statement(statement, this->now);
  EXPECT_EQ(this->chosen(1), "");
  this->table.find(backend_id{"a"})->on_statement({}, this->now);
  EXPECT_EQ(this->chosen(1), "") << "a response that was written before";
  this->snapshot.backends.clear();
  this->apply();
  this->add("a", near_a).started_unix_ms = 1;
  this->apply();
  EXPECT_EQ(this->chosen(1), "") << "the entry returns";
  this->add("a", near_a).started_unix_ms = 2;
  this->apply();
  EXPECT_EQ(this->chosen(1), "a");
}

TEST_F(placement, a_busy_server_gets_nothing_until_its_time_is_over_and_then_one_request_first) {
  this->add("a", near_a);
  this->apply();
  const auto& server = this->table.find(backend_id{"a"});
  backend_statement statement;
  statement.busy_for = duration{5000};
  server->on_statement(statement, this->now);
  const auto refused = this->table.choose(this->request(1), this->now);
  EXPECT_EQ(refused.action, placement_action::refuse);
  EXPECT_EQ(refused.refusal_reason, reason::backend_busy);
  this->now = this->now + duration{4999};
  EXPECT_EQ(this->chosen(1), "");
  const auto ends_in = this->table.choose(this->request(1), this->now).retry_after;
  EXPECT_LE(ends_in, duration{501}) << "the end of the busy time";
  // Nodes return up to a tenth of the time later.
  this->now = this->now + duration{501};
  ASSERT_EQ(this->chosen(1), "a");
  server->on_sent(this->now);
  EXPECT_EQ(this->chosen(2), "") << "one request first";
  server->on_ended(backend_outcome::responded, duration{50}, duration{50}, this->now);
  EXPECT_EQ(this->chosen(2), "a");
  server->on_sent(this->now);
  EXPECT_EQ(this->chosen(2), "a");
}

TEST_F(placement, a_busy_server_that_repeats_it_stays_out) {
  this->add("a", near_a);
  this->apply();
  const auto& server = this->table.find(backend_id{"a"});
  backend_statement statement;
  statement.busy_for = duration{1000};
  for (int i = 0; i < 5; ++i) {
    server->on_sent(this->now);
    server->on_statement(statement, this->now);
    server->on_ended(backend_outcome::shed, duration{1}, duration{50}, this->now);
    EXPECT_EQ(this->chosen(1), "");
    this->now = this->now + duration{1100};
    ASSERT_EQ(this->chosen(1), "a");
    server->on_sent(this->now);
    EXPECT_EQ(this->chosen(1), "") << "still one request at a time";
    server->on_abandoned();
  }
}

TEST_F(placement, a_cold_server_is_warmed_by_one_node_within_its_rate) {
  auto& cold = this->add("cold", near_a);
  cold.cold_until = this->now + duration{3000};
  this->apply();
  const std::map<node_id, location> nodes{
      {node_id{"n1"}, {near_a, near}}, {node_id{"n2"}, {near_a, near}}, {node_id{"n3"}, {far_a, far}}};
  int owners = 0;
  for (const auto& [node, where] : nodes) {
    this->table.set_nodes(nodes, {near, far}, node, this->now);
    owners += this->table.find(backend_id{"cold"})->is_warmed_by_this_node ? 1 : 0;
    if (node == node_id{"n3"}) {
      EXPECT_FALSE(this->table.find(backend_id{"cold"})->is_warmed_by_this_node)
          << "a node of the server's failure domain warms it";
    }
  }
  EXPECT_EQ(owners, 1);
  this->table.set_nodes(nodes, {near, far}, node_id{"n3"}, this->now);
  EXPECT_EQ(this->chosen(std::nullopt), "") << "another node warms the server";
  this->table.set_nodes({{node_id{"n1"}, {near_a, near}}}, {near}, node_id{"n1"}, this->now);
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    const auto decision = this->table.choose(this->request(std::nullopt), this->now);
    if (decision.target != nullptr) {
      decision.target->on_sent(this->now);
      decision.target->on_abandoned();
      ++sent;
    }
  }
  EXPECT_EQ(sent, 8) << "0.8 of 10 requests per second";
  this->now = this->now + duration{1000};
  EXPECT_EQ(this->chosen(std::nullopt), "cold");
}

TEST_F(placement, a_node_does_not_warm_servers_of_a_region_with_registered_but_unreachable_nodes) {
  this->add("far", far_a).cold_until = this->now + duration{3000};
  this->apply();
  const std::map<node_id, location> alive{{node_id{"n1"}, {near_a, near}}};
  this->table.set_nodes(alive, {near, far}, node_id{"n1"}, this->now);
  EXPECT_EQ(this->chosen(std::nullopt), "");
  this->table.set_nodes(alive, {near}, node_id{"n1"}, this->now);
  EXPECT_EQ(this->chosen(std::nullopt), "far") << "no other node can warm it";
}

TEST_F(placement, draining_evacuated_and_closed_servers_get_no_requests) {
  this->add("a", near_a);
  this->add("b", near_b);
  this->apply();
  const auto used = [&] {
    std::set<std::string> found;
    for (std::uint64_t object = 0; object < 50; ++object) {
      found.insert(this->chosen(object));
    }
    return found;
  };
  using names = std::set<std::string>;
  EXPECT_EQ(used(), (names{"a", "b"}));
  this->snapshot.backends[backend_id{"a"}].mode = backend_mode::draining;
  this->apply();
  EXPECT_EQ(used(), names{"b"});
  this->snapshot.backends[backend_id{"a"}].mode = backend_mode::ready;
  this->snapshot.evacuated = {near_a};
  this->apply();
  EXPECT_EQ(used(), names{"b"});
  this->snapshot.evacuated.clear();
  this->apply();
  EXPECT_EQ(used(), names{"b"}) << "a may have become cold during the evacuation; a health check comes first";
  for (const auto& due : this->table.due_for_health_check(this->now)) {
    due->on_health_check(true, duration{0}, this->now);
  }
  EXPECT_EQ(used(), (names{"a", "b"}));
  this->snapshot.shifts.closed_backends = {backend_id{"a"}};
  this->apply();
  EXPECT_EQ(used(), names{"b"});
}

TEST_F(placement, a_move_sends_its_percentage_of_objects_to_the_target_region) {
  for (int i = 0; i < 4; ++i) {
    this->add("n" + std::to_string(i), near_a);
    this->add("f" + std::to_string(i), far_a);
  }
  this->snapshot.shifts.moves[{desk, near}] = {{far, 40}};
  this->apply();
  int moved = 0;
  for (std::uint64_t object = 0; object < 1000; ++object) {
    const bool is_far = this->chosen(object).starts_with("f");
    moved += is_far ? 1 : 0;
    if (object % 100 < 40) {
      EXPECT_TRUE(is_far);
    }
  }
  EXPECT_GE(moved, 400);
}

TEST_F(placement, a_restarted_server_is_cold_and_holds_no_objects) {
  auto& backend = this->add("a", near_a);
  backend.started_unix_ms = 1;
  this->apply();
  this->table.find(backend_id{"a"})->objects.touch(5, 40);
  backend.started_unix_ms = 2;
  backend.cold_until = this->now + duration{3000};
  this->apply();
  EXPECT_FALSE(this->table.find(backend_id{"a"})->objects.contains(5));
  EXPECT_TRUE(this->table.find(backend_id{"a"})->is_cold(this->now));
}

}  // namespace
