// Checks on simulated load that the production placement earns callers nearly as much credit as an ideal
// pooled queue, and more than random placement. Also checks that a simulation is reproducible.
#include <gtest/gtest.h>

#include <algorithm>

#include "simulation.hpp"

using namespace zinnia;
using namespace zinnia::bench;

namespace {

[[nodiscard]] scenario load_scenario(const std::string& name) {
  auto read = read_scenario("bench/scenarios/" + name + ".yaml");
  EXPECT_TRUE(read) << read.last_error().describe();
  return std::move(read).value();
}

TEST(simulation, the_same_seed_gives_the_same_run) {
  const auto input = load_scenario("kapur-jaya");
  const auto first = simulate(input, policy::zinniafield, 7);
  const auto second = simulate(input, policy::zinniafield, 7);
  EXPECT_EQ(first.credit, second.credit);
  EXPECT_EQ(first.latencies_ms, second.latencies_ms);
  EXPECT_EQ(first.requests, first.in_aim + first.late + first.refused + first.failed);
}

struct load_case {
  const char* scenario;
  /// Required fraction of the credit that one pooled queue with every object remembered would earn.
  double min_fraction_of_bound;
};

class under_load : public testing::TestWithParam<load_case> {};

TEST_P(under_load, credit_exceeds_the_required_fraction_of_the_pooled_bound_and_random_placement) {
  const auto input = load_scenario(GetParam().scenario);
  double zinniafield_credit = 0;
  double bound_credit = 0;
  double random_credit = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    zinniafield_credit += simulate(input, policy::zinniafield, seed).credit_fraction();
    bound_credit += simulate(input, policy::pooled_bound, seed).credit_fraction();
    random_credit += simulate(input, policy::random, seed).credit_fraction();
  }
  EXPECT_GT(zinniafield_credit, bound_credit * GetParam().min_fraction_of_bound);
  EXPECT_GT(zinniafield_credit, random_credit);
}

INSTANTIATE_TEST_SUITE_P(scenarios, under_load,
                         testing::Values(load_case{"kapur-jaya", 0.9}, load_case{"brekke", 0.9},
                                         load_case{"kapur-jaya-heavy", 0.8}, load_case{"brekke-heavy", 0.8}),
                         [](const auto& tested) {
                           std::string name = tested.param.scenario;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

/// Load: no server holds any object. Nodes that tell each other which servers load objects do not load them
/// again.
TEST(cold_start, notices_between_nodes_earn_callers_more) {
  auto input = load_scenario("cold-start");
  input.length_s = 5;
  input.notices = false;
  const auto without = simulate(input, policy::zinniafield, 1);
  input.notices = true;
  const auto with = simulate(input, policy::zinniafield, 1);
  EXPECT_GT(with.credit_fraction(), without.credit_fraction());
  EXPECT_GT(with.warm_runs, without.warm_runs);
}

TEST(scenario, reading_a_missing_file_is_an_error) {
  EXPECT_FALSE(read_scenario("/no/such/file"));
}

}  // namespace
