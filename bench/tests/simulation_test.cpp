// The loads that placement, waiting and refusing answer, played on the simulated world: what callers get.
#include <gtest/gtest.h>

#include <algorithm>

#include "simulation.hpp"

using namespace zinnia;
using namespace zinnia::bench;

namespace {

[[nodiscard]] scenario load(const std::string& name) {
  auto read = read_scenario("bench/scenarios/" + name + ".yaml");
  EXPECT_TRUE(read) << read.last_error().describe();
  return std::move(read).value();
}

TEST(world, the_same_seed_gives_the_same_run) {
  const auto what = load("kapur-jaya");
  const auto first = play(what, policy::ours, 7);
  const auto second = play(what, policy::ours, 7);
  EXPECT_EQ(first.credit, second.credit);
  EXPECT_EQ(first.latencies_ms, second.latencies_ms);
  EXPECT_EQ(first.asked, first.in_aim + first.late + first.refused + first.failed);
}

struct load_case {
  const char* scenario;
  /// Least part of the credit that one pooled queue with every object remembered would earn: the stated aim.
  double part_of_bound;
};

class under_load : public testing::TestWithParam<load_case> {};

TEST_P(under_load, callers_get_most_of_what_a_pooled_queue_would_give) {
  const auto what = load(GetParam().scenario);
  double ours = 0;
  double bound = 0;
  double random = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    ours += play(what, policy::ours, seed).share();
    bound += play(what, policy::pooled, seed).share();
    random += play(what, policy::random, seed).share();
  }
  EXPECT_GT(ours, bound * GetParam().part_of_bound);
  EXPECT_GT(ours, random);
}

INSTANTIATE_TEST_SUITE_P(table, under_load,
                         testing::Values(load_case{"kapur-jaya", 0.9}, load_case{"brekke", 0.9},
                                         load_case{"kapur-jaya-heavy", 0.8}, load_case{"brekke-heavy", 0.8}),
                         [](const auto& tested) {
                           std::string name = tested.param.scenario;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

TEST(scenario, errors_name_field_and_range) {
  EXPECT_FALSE(read_scenario("/no/such/file"));
}

}  // namespace
