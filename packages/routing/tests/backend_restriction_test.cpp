// Which backend servers operators see as restricted, why and until when.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <random>
#include <set>

#include "zinnia/routing/backend_table.hpp"

namespace zinnia {
namespace {

const service_id desk{"desk"};
const failure_domain_id domain_a{"a"};
const failure_domain_id domain_b{"b"};
const region_id region{"r"};

class backend_restrictions : public testing::Test {
 protected:
  void SetUp() override {
    this->snapshot.services[desk] = {desk, "/health", 100, 10};
    this->add("b1", domain_a);
    this->add("b2", domain_b);
    this->apply();
  }
  void add(const std::string& id, const failure_domain_id& domain) {
    backend_declaration backend;
    backend.id = backend_id{id};
    backend.service = desk;
    backend.domain = domain;
    this->snapshot.backends[backend.id] = backend;
  }
  void apply() {
    ++this->snapshot.sequence;
    this->table.apply(this->snapshot, this->now);
    const node_id self{"n"};
    this->table.set_nodes({{self, {domain_a, region}}}, {region}, self, this->now);
  }
  [[nodiscard]] backend_state& server(const std::string& id) { return *this->table.find(backend_id{id}); }

  time_point now{100'000};
  routing_snapshot snapshot;
  backend_table table{{domain_a, region}, {{domain_a, region}, {domain_b, region}}};
};

TEST_F(backend_restrictions, nodes_that_hear_only_of_their_own_region_keep_to_a_limit_together) {
  constexpr std::size_t region_count = 36;
  constexpr std::size_t nodes_per_region = 4;
  constexpr double limit = 100;
  const auto own_domain = [](std::size_t i) {
    return failure_domain_id{i == 0 ? "a" : "d" + std::to_string(i)};
  };
  const auto own_region = [](std::size_t i) { return region_id{"r" + std::to_string(i)}; };
  std::map<failure_domain_id, region_id> domains;
  std::set<region_id> with_nodes;
  for (std::size_t i = 0; i < region_count; ++i) {
    domains[own_domain(i)] = own_region(i);
    with_nodes.insert(own_region(i));
  }
  double sum = 0;
  for (std::size_t i = 0; i < region_count; ++i) {
    std::map<node_id, location> heard_of;
    for (std::size_t k = 0; k < nodes_per_region; ++k) {
      heard_of[node_id{std::to_string(i) + "-" + std::to_string(k)}] = {own_domain(i), own_region(i)};
    }
    for (const auto& [id, where] : heard_of) {
      backend_table view{where, domains};
      view.apply(this->snapshot, this->now);
      view.set_nodes(heard_of, with_nodes, id, this->now, region_count * nodes_per_region);
      auto& server = *view.find(backend_id{"b1"});
      backend_statement statement;
      statement.rate_limit = limit;
      server.on_statement(statement, this->now);
      sum += server.rate_of_this_node();
    }
  }
  EXPECT_LE(sum, limit + 0.001);
}

TEST_F(backend_restrictions, names_why_and_until_when_each_server_is_out_of_use) {
  EXPECT_TRUE(this->table.restrictions(this->now).empty());
  const backend_id first{"b1"};
  struct row {
    const char* name;
    std::function<void()> restrict;
    std::function<void()> end;
    restriction_kind expected;
    std::optional<duration> remaining;
  };
  const std::vector<row> cases{
      {"suspended", [&] { this->server("b1").suspend(duration{250}, this->now); },
       [&] { this->server("b1").on_health_check(true, duration{0}, this->now); }, restriction_kind::suspended,
       duration{250}},
      {"draining",
       [&] {
         this->snapshot.backends[first].mode = backend_mode::draining;
         this->apply();
       },
       [&] {
         this->snapshot.backends[first].mode = backend_mode::ready;
         this->apply();
       },
       restriction_kind::draining, std::nullopt},
      {"closed by a shift",
       [&] {
         this->snapshot.shifts.closed_backends = {first};
         this->apply();
       },
       [&] {
         this->snapshot.shifts.closed_backends.clear();
         this->apply();
       },
       restriction_kind::drained_by_shift, std::nullopt},
      {"busy",
       [&] {
         backend_statement statement;
         statement.busy_for = duration{5};
         this->server("b1").on_statement(statement, this->now);
       },
       [&] { this->now = this->server("b1").busy_end(); }, restriction_kind::busy, duration{5}},
      {"leaving", [&] { this->server("b1").set_leaving(); }, [] {}, restriction_kind::leaving, std::nullopt},
  };
  for (const auto& row : cases) {
    row.restrict();
    const auto found = this->table.restrictions(this->now);
    ASSERT_EQ(found.size(), 1U) << row.name;
    EXPECT_EQ(found.front().backend, first) << row.name;
    EXPECT_EQ(found.front().service, desk) << row.name;
    EXPECT_EQ(found.front().domain, domain_a) << row.name;
    EXPECT_EQ(found.front().kind, row.expected) << row.name;
    EXPECT_EQ(found.front().remaining, row.remaining) << row.name;
    row.end();
    EXPECT_TRUE(this->table.restrictions(this->now).empty() || row.expected == restriction_kind::leaving)
        << row.name;
  }
}

TEST_F(backend_restrictions, an_evacuation_restricts_the_servers_of_its_domain_only) {
  this->snapshot.evacuated = {domain_b};
  this->apply();
  const auto found = this->table.restrictions(this->now);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found.front().backend.str(), "b2");
  EXPECT_EQ(found.front().kind, restriction_kind::evacuated);
}

TEST_F(backend_restrictions, a_limited_server_shows_the_limit_and_this_nodes_part) {
  backend_statement statement;
  statement.rate_limit = 4;
  this->server("b1").on_statement(statement, this->now);
  const auto found = this->table.restrictions(this->now);
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found.front().kind, restriction_kind::limited);
  EXPECT_DOUBLE_EQ(found.front().limit_per_second, 4);
  EXPECT_DOUBLE_EQ(found.front().share_per_second, this->server("b1").rate_of_this_node());
  EXPECT_GT(found.front().share_per_second, 0);
}

TEST_F(backend_restrictions, a_due_health_check_is_not_in_the_past) {
  this->server("b1").suspend(duration{250}, this->now);
  const auto found = this->table.restrictions(this->now + duration{9000});
  ASSERT_EQ(found.size(), 1U);
  EXPECT_EQ(found.front().remaining, duration{0});
}

/// Operators must never look at a server that gets no requests without a reason, or at one in use with one.
TEST_F(backend_restrictions, every_server_out_of_use_has_a_reason_and_no_other_has_one) {
  std::mt19937 random{1};
  const auto one_in = [&](unsigned n) { return random() % n == 0; };
  for (int step = 0; step < 2000; ++step) {
    for (auto& [id, declared] : this->snapshot.backends) {
      declared.mode = one_in(4) ? backend_mode::draining : backend_mode::ready;
      declared.started_unix_ms = one_in(4) ? step + 1 : std::max<std::int64_t>(declared.started_unix_ms, 1);
    }
    this->snapshot.evacuated.clear();
    if (one_in(4)) {
      this->snapshot.evacuated.insert(one_in(2) ? domain_a : domain_b);
    }
    this->snapshot.shifts.closed_backends.clear();
    if (one_in(4)) {
      this->snapshot.shifts.closed_backends.insert(backend_id{one_in(2) ? "b1" : "b2"});
    }
    this->apply();
    for (const auto& backend : this->table.all()) {
      backend_statement statement;
      statement.is_leaving = one_in(10);
      if (one_in(5)) {
        statement.busy_for = duration{static_cast<std::int64_t>(random() % 500)};
      }
      if (one_in(5)) {
        statement.rate_limit = 1;
      }
      backend->on_statement(statement, this->now);
      if (one_in(5)) {
        backend->suspend(duration{250}, this->now);
      } else if (one_in(2)) {
        backend->on_health_check(true, duration{0}, this->now);
      }
    }
    std::set<backend_id> out_of_use;
    for (const auto& restriction : this->table.restrictions(this->now)) {
      if (restriction.kind != restriction_kind::limited) {
        out_of_use.insert(restriction.backend);
      }
    }
    for (const auto& backend : this->table.all()) {
      EXPECT_NE(this->table.is_in_use(*backend, this->now), out_of_use.contains(backend->declared().id))
          << "step " << step << ", " << backend->declared().id.str();
    }
    this->now = this->now + duration{static_cast<std::int64_t>(random() % 200)};
  }
}

TEST(restriction_kind, every_kind_has_a_name_of_its_own) {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < static_cast<std::size_t>(restriction_kind::count); ++i) {
    EXPECT_TRUE(names.insert(to_string(static_cast<restriction_kind>(i))).second);
  }
}

}  // namespace
}  // namespace zinnia
