// Two nodes of one region that place requests for the same objects and tell each other by notices.
#include <gtest/gtest.h>

#include "zinnia/routing/backend_table.hpp"

using namespace zinnia;

namespace {

const failure_domain_id near_a{"near-a"};
const failure_domain_id near_b{"near-b"};
const failure_domain_id far_a{"far-a"};
const region_id near{"near"};
const region_id far{"far"};
const service_id desk{"desk"};

class shared_homes : public testing::Test {
 protected:
  void SetUp() override {
    this->test_route.prefix = "/x/";
    this->test_route.target_latency = duration{300};
    this->snapshot.sequence = 1;
    this->snapshot.services[desk] = {desk, "/health", 100, 10};
  }
  void add(const std::string& id, const failure_domain_id& domain) {
    backend_declaration backend;
    backend.id = backend_id{id};
    backend.service = desk;
    backend.domain = domain;
    backend.slots = 3;
    this->snapshot.backends[backend.id] = backend;
  }
  void apply() {
    this->a.apply(this->snapshot, this->now);
    this->b.apply(this->snapshot, this->now);
  }
  [[nodiscard]] placement_decision choose(backend_table& table, std::uint64_t object) const {
    placement_request request;
    request.matched_route = &this->test_route;
    request.service = desk;
    request.object = object;
    request.deadline = this->now + duration{2'000};
    return table.choose(request, this->now);
  }
  /// Sends a request from one node; the other hears of it.
  placement_decision send(backend_table& from, std::uint64_t object) {
    auto decision = this->choose(from, object);
    from.record_send(decision, desk, object, this->now);
    (&from == &this->a ? this->b : this->a).apply_notices(from.take_notices(), this->now);
    return decision;
  }
  void respond(backend_table& to, const placement_decision& decision, std::uint64_t object,
               std::int64_t took_ms, double kib = 4) {
    to.record_attempt(
        {this->test_route, desk, decision, object, backend_outcome::responded, duration{took_ms}, kib},
        this->now);
  }
  static std::string name_of(const placement_decision& decision) {
    return decision.target == nullptr ? "" : decision.target->declared().id.str();
  }

  time_point now{100'000};
  route test_route;
  routing_snapshot snapshot;
  const std::map<failure_domain_id, region_id> regions{{near_a, near}, {near_b, near}, {far_a, far}};
  backend_table a{{near_a, near}, this->regions};
  backend_table b{{near_b, near}, this->regions};
};

TEST_F(shared_homes, nodes_of_a_region_load_an_object_at_the_same_server) {
  for (int i = 0; i < 6; ++i) {
    this->add("a" + std::to_string(i), near_a);
    this->add("b" + std::to_string(i), near_b);
    this->add("f" + std::to_string(i), far_a);
  }
  this->apply();
  for (std::uint64_t object = 1; object < 100; ++object) {
    EXPECT_EQ(name_of(this->choose(this->a, object)), name_of(this->choose(this->b, object)));
  }
}

/// Estimates differ between nodes while they settle; the choice must not depend on them.
TEST_F(shared_homes, what_a_node_has_learned_does_not_move_homes) {
  for (int i = 0; i < 6; ++i) {
    this->add("a" + std::to_string(i), near_a);
    this->add("f" + std::to_string(i), far_a);
  }
  this->apply();
  for (int i = 0; i < 50; ++i) {
    this->b.estimate(this->test_route, desk).record_work_time(warmth::known, 290);
    this->b.estimate(this->test_route, desk).record_work_time(warmth::none, 900);
  }
  for (std::uint64_t object = 1; object < 100; ++object) {
    EXPECT_EQ(name_of(this->choose(this->a, object)), name_of(this->choose(this->b, object)));
  }
}

/// Load: many objects that no server holds. Loading takes longest at a busy server, so the next home loads
/// them.
TEST_F(shared_homes, objects_are_loaded_at_a_home_that_is_not_busy) {
  for (int i = 0; i < 4; ++i) {
    this->add("a" + std::to_string(i), near_a);
  }
  this->apply();
  std::map<std::string, int> loads;
  for (std::uint64_t object = 1; object <= 12; ++object) {
    ++loads[name_of(this->send(object % 2 == 0 ? this->a : this->b, object * 7919))];
  }
  for (const auto& [id, count] : loads) {
    EXPECT_LE(count, 4) << id;
  }
  EXPECT_EQ(loads.size(), 4U);
}

TEST_F(shared_homes, requests_follow_the_object_to_the_server_that_loads_it) {
  for (int i = 0; i < 8; ++i) {
    this->add("a" + std::to_string(i), near_a);
  }
  this->apply();
  constexpr std::uint64_t object = 4711;
  const auto first_home = this->choose(this->a, object).target;
  for (int i = 0; i < 3; ++i) {
    first_home->on_sent(this->now);
  }
  const auto loaded_at = name_of(this->send(this->a, object));
  ASSERT_NE(loaded_at, first_home->declared().id.str()) << "the first home is busy";
  const auto followed = this->choose(this->b, object);
  EXPECT_EQ(name_of(followed), loaded_at);
  EXPECT_EQ(followed.expected_warmth, warmth::presumed);
  this->now = this->now + duration{1'000};
  EXPECT_EQ(this->choose(this->b, object).expected_warmth, warmth::known);
  EXPECT_EQ(name_of(this->choose(this->b, object)), loaded_at);
}

TEST_F(shared_homes, a_load_that_failed_is_forgotten) {
  this->add("a0", near_a);
  this->add("a1", near_a);
  this->apply();
  const auto decision = this->send(this->a, 7);
  EXPECT_TRUE(decision.target->objects.contains(7));
  this->a.record_attempt({this->test_route, desk, decision, 7, backend_outcome::shed, duration{5}, 0},
                         this->now);
  EXPECT_FALSE(decision.target->objects.contains(7));
}

/// Load: one object in such demand that its server has no free slot.
TEST_F(shared_homes, an_object_in_demand_gets_another_copy) {
  for (int i = 0; i < 6; ++i) {
    this->add("a" + std::to_string(i), near_a);
  }
  this->apply();
  constexpr std::uint64_t object = 99;
  this->respond(this->a, this->send(this->a, object), object, 240);
  std::set<std::string> servers;
  for (int i = 0; i < 200; ++i) {
    const auto decision = this->send(this->a, object);
    servers.insert(name_of(decision));
    if (i >= 2) {
      this->respond(this->a, decision, object, 60);
    }
  }
  EXPECT_GT(servers.size(), 1U);
  EXPECT_LE(servers.size(), 3U);
}

/// Bytes between failure domains are dear here; an object whose responses are large gets a copy in the own
/// domain.
TEST_F(shared_homes, large_responses_get_a_copy_in_the_own_domain) {
  auto tree = settings_tree::parse(
      {"e",
       "t",
       "settings: {domain_transfer_us_per_kib: 8000}\nplaces: {near: {domains: {near-a: {}, near-b: {}}}}\n",
       {}},
      "t");
  ASSERT_TRUE(tree) << tree.last_error().describe();
  this->snapshot.tree = std::make_shared<const settings_tree>(std::move(tree).value());
  for (int i = 0; i < 4; ++i) {
    this->add("a" + std::to_string(i), near_a);
    this->add("b" + std::to_string(i), near_b);
  }
  this->apply();
  const auto count_elsewhere = [&](double kib) {
    for (int i = 0; i < 50; ++i) {
      this->a.estimate(this->test_route, desk).record_response_size(kib);
    }
    int elsewhere = 0;
    for (std::uint64_t object = 1; object <= 40; ++object) {
      for (int i = 0; i < 3; ++i) {
        const auto decision = this->send(this->a, object);
        this->respond(this->a, decision, object, 60, kib);
        elsewhere += i == 2 && name_of(decision).starts_with("b") ? 1 : 0;
      }
    }
    return elsewhere;
  };
  EXPECT_GT(count_elsewhere(0.1), 5) << "small responses may cross domains";
  EXPECT_EQ(count_elsewhere(200), 0);
}

/// The own region has too few slots for its objects; a copy there would bring back what was sent away.
TEST_F(shared_homes, objects_sent_to_another_region_get_no_copy_in_the_own_domain) {
  this->add("a0", near_a);
  for (int i = 0; i < 9; ++i) {
    this->add("f" + std::to_string(i), far_a);
  }
  this->apply();
  std::uint64_t object = 1;
  while (!name_of(this->choose(this->a, object)).starts_with("f")) {
    ++object;
  }
  for (int i = 0; i < 100; ++i) {
    const auto decision = this->send(this->a, object);
    EXPECT_TRUE(name_of(decision).starts_with("f"));
    this->respond(this->a, decision, object, 170);
  }
}

TEST_F(shared_homes, a_node_is_told_from_time_to_time_what_servers_hold) {
  this->add("a0", near_a);
  this->apply();
  this->respond(this->a, this->send(this->a, 5), 5, 240);
  this->now = this->now + duration{1'000};
  const auto decision = this->choose(this->a, 5);
  this->a.record_send(decision, desk, 5, this->now);
  EXPECT_TRUE(this->a.take_notices().empty());
  this->now = this->now + duration{6'000};
  this->a.record_send(decision, desk, 5, this->now);
  const auto notices = this->a.take_notices();
  ASSERT_EQ(notices.size(), 1U);
  EXPECT_EQ(notices.front().loads_for, duration{0});
  this->b.apply_notices(notices, this->now);
  this->b.apply_notices({{5, 12'345, duration{0}}}, this->now);
  EXPECT_EQ(this->choose(this->b, 5).expected_warmth, warmth::known);
}

/// A wrong first guess of a route's work must not make the first servers look slow.
TEST_F(shared_homes, a_route_that_is_slower_than_assumed_does_not_make_servers_look_slow) {
  this->add("a0", near_a);
  this->apply();
  for (std::uint64_t object = 1; object <= 3; ++object) {
    this->respond(this->a, this->send(this->a, object), object, 1'200);
  }
  EXPECT_NEAR(this->a.all().front()->slowness(this->now), 1, 0.01);
}

}  // namespace
