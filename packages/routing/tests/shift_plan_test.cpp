// Step-wise drains and moves.
#include <gtest/gtest.h>

#include "zinnia/routing/shift_plan.hpp"

using namespace zinnia;

namespace {

class shifts : public testing::Test {
 protected:
  void SetUp() override {
    for (int i = 0; i < 8; ++i) {
      backend_declaration backend;
      backend.id = backend_id{"b" + std::to_string(i)};
      backend.service = service_id{"desk"};
      backend.domain = failure_domain_id{i < 4 ? "near-a" : "far-a"};
      backend.slots = 3;
      this->backends.emplace(backend.id, backend);
    }
  }
  [[nodiscard]] static settings_tree tree_with(const shift_intent& shift, int cap) {
    const std::string text =
        "settings: {ramp_step_percent: 25, ramp_interval_ms: 1000, typical_service_ms: 20}\n"
        "places: {near: {domains: {near-a: {}}}, far: {domains: {far-a: {}}}}\n"
        "services: {desk: {}}\n"
        "links: [{from: near, to: far, delay_ms: 10, capacity: " +
        std::to_string(cap) + ", caps: {desk: " + std::to_string(cap) + "}}]\n";
    auto tree = settings_tree::parse({"e", "t", text, {shift}}, "t");
    EXPECT_TRUE(tree) << tree.last_error().describe();
    return std::move(tree).value();
  }
  [[nodiscard]] shift_state state(const settings_tree& tree, std::int64_t now) const {
    return compute_shift_state(tree, {&this->backends, &this->regions}, now);
  }

  std::map<backend_id, backend_declaration> backends;
  std::map<failure_domain_id, region_id> regions{{failure_domain_id{"near-a"}, region_id{"near"}},
                                                 {failure_domain_id{"far-a"}, region_id{"far"}}};
};

TEST_F(shifts, region_drain_closes_servers_step_by_step) {
  const auto tree = tree_with({"d", shift_kind::drain_region, "near", {}, {}, 100, 10'000}, 24);
  EXPECT_EQ(this->state(tree, 9'999).closed_backends.size(), 0U);
  EXPECT_EQ(this->state(tree, 10'000).closed_backends.size(), 1U);
  EXPECT_EQ(this->state(tree, 11'000).closed_backends.size(), 2U);
  EXPECT_EQ(this->state(tree, 13'000).closed_backends.size(), 4U);
  EXPECT_EQ(this->state(tree, 99'000).closed_backends.size(), 4U);
  EXPECT_FALSE(this->state(tree, 99'000).closed_backends.contains(backend_id{"b4"}));
}

TEST_F(shifts, region_drain_is_limited_by_the_caps_of_links) {
  // With 10 ms each way on the link and 20 ms of work, a cap of 12 requests in flight replaces 6 slots, which
  // is half of the region.
  const auto tree = tree_with({"d", shift_kind::drain_region, "near", {}, {}, 100, 10'000}, 12);
  EXPECT_EQ(this->state(tree, 99'000).closed_backends.size(), 2U);
  const auto progress = compute_shift_progress(tree, {&this->backends, &this->regions}, 99'000);
  ASSERT_EQ(progress.size(), 1U);
  EXPECT_EQ(progress[0].percent, 50);
  EXPECT_EQ(progress[0].waits_for, "caps of desk out of near");
}

TEST_F(shifts, move_grows_to_its_percentage) {
  const auto tree =
      tree_with({"m", shift_kind::move, "near", service_id{"desk"}, region_id{"far"}, 60, 10'000}, 12);
  const auto at = [&](std::int64_t now) {
    const auto moves = this->state(tree, now).moves;
    const auto found = moves.find({service_id{"desk"}, region_id{"near"}});
    return found == moves.end() ? 0 : found->second.front().percent;
  };
  EXPECT_EQ(at(9'000), 0);
  EXPECT_EQ(at(10'000), 25);
  EXPECT_EQ(at(11'500), 50);
  EXPECT_EQ(at(12'000), 60);
}

/// The ramp of the failure domain is twice as fast as that of its region.
TEST_F(shifts, a_domain_drain_follows_the_ramp_of_its_domain) {
  const shift_intent drain{"d", shift_kind::drain_domain, "near-a", {}, {}, 100, 10'000};
  const auto tree = settings_tree::parse({"e",
                                          "t",
                                          "settings: {ramp_step_percent: 25, ramp_interval_ms: 1000}\n"
                                          "places: {near: {domains: {near-a: {settings: {ramp_step_percent: "
                                          "50}}}}, far: {domains: {far-a: {}}}}\n"
                                          "services: {desk: {}}\n",
                                          {drain}},
                                         "t");
  ASSERT_TRUE(tree) << tree.last_error().describe();
  EXPECT_EQ(this->state(*tree, 10'000).closed_backends.size(), 2U);
  const auto progress = compute_shift_progress(*tree, {&this->backends, &this->regions}, 10'000);
  ASSERT_EQ(progress.size(), 1U);
  EXPECT_EQ(progress[0].percent, 50);
}

/// A region's drain follows the region's ramp, whichever of its failure domains the first server is in.
TEST_F(shifts, a_region_drain_follows_the_ramp_of_its_region) {
  const shift_intent drain{"d", shift_kind::drain_region, "near", {}, {}, 100, 10'000};
  const auto tree = settings_tree::parse({"e",
                                          "t",
                                          "settings: {ramp_step_percent: 25, ramp_interval_ms: 1000}\n"
                                          "places: {near: {domains: {near-a: {settings: {ramp_step_percent: "
                                          "50}}}}, far: {domains: {far-a: {}}}}\n"
                                          "services: {desk: {}}\n",
                                          {drain}},
                                         "t");
  ASSERT_TRUE(tree) << tree.last_error().describe();
  EXPECT_EQ(this->state(*tree, 10'000).closed_backends.size(), 1U);
  EXPECT_EQ(compute_shift_progress(*tree, {&this->backends, &this->regions}, 10'000)[0].percent, 25);
}

TEST_F(shifts, an_entry_drain_takes_effect_at_once) {
  const auto tree = tree_with({"d", shift_kind::drain_entry, "entry-1", {}, {}, 100, 10'000}, 12);
  EXPECT_TRUE(this->state(tree, 10'000).drained_nodes.contains(node_id{"entry-1"}));
  EXPECT_FALSE(this->state(tree, 9'000).drained_nodes.contains(node_id{"entry-1"}));
}

}  // namespace
