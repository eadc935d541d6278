// A few fixed seeds of the random walk; build/random_walk runs as many as wanted.
#include "walk.hpp"

#include <gtest/gtest.h>

namespace zinnia::walks {
namespace {

class walk_seeds : public testing::TestWithParam<std::uint64_t> {};

TEST_P(walk_seeds, every_invariant_holds) {
  walk_options options;
  options.seed = GetParam();
  const auto found = run_walk(options);
  EXPECT_EQ(found.violation, "") << "seed " << options.seed << " at " << found.at_ms << " ms";
  EXPECT_GT(found.dispatches, 100);
}

INSTANTIATE_TEST_SUITE_P(fixed, walk_seeds, testing::Range<std::uint64_t>(1, 25));

/// Seeds that once broke an invariant.
INSTANTIATE_TEST_SUITE_P(mended, walk_seeds, testing::Values(105483, 10461, 11617, 383, 878, 2143));

/// Without faults the walk must do real work of every kind, or its silence means nothing.
TEST(walk, calm_walk_uses_slots_keys_and_shares) {
  walk_options options;
  options.store_faults = options.crashes = options.pauses = options.cuts = options.edits = options.stops =
      false;
  const auto found = run_walk(options);
  EXPECT_EQ(found.violation, "");
  EXPECT_GT(found.dispatches, 500);
  EXPECT_GE(found.key_runs, 20);
  EXPECT_GT(found.shifted, 50);
  EXPECT_EQ(found.takeovers, 0);
}

}  // namespace
}  // namespace zinnia::walks
