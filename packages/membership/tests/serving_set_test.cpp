// Which nodes callers are told of when VMs differ in size.
#include <gtest/gtest.h>

#include "zinnia/membership/member_table.hpp"
#include "zinnia/membership/serving_set.hpp"

using namespace zinnia;

namespace {

constexpr node_capacity large{500, 200'000};
constexpr node_capacity small{100, 10'000};

/// `l1`, `l2`, ... are large nodes, `s1`, `s2`, ... small ones; all have the same load.
[[nodiscard]] std::vector<serving_candidate> make_nodes(int larges, int smalls, node_load each = {}) {
  std::vector<serving_candidate> nodes;
  for (int i = 1; i <= larges; ++i) {
    nodes.push_back({node_id{"l" + std::to_string(i)}, large, each});
  }
  for (int i = 1; i <= smalls; ++i) {
    nodes.push_back({node_id{"s" + std::to_string(i)}, small, each});
  }
  return nodes;
}

TEST(serving_set, equal_nodes_all_serve) {
  EXPECT_EQ(choose_serving(make_nodes(0, 9), {}).size(), 9U);
  EXPECT_EQ(choose_serving(make_nodes(1, 0), {}).size(), 1U);
  EXPECT_TRUE(choose_serving({}, {}).empty());
}

TEST(serving_set, large_nodes_serve_while_they_carry_the_work) {
  EXPECT_EQ(choose_serving(make_nodes(2, 15), {}), (std::set<node_id>{node_id{"l1"}, node_id{"l2"}}));
  // 17 nodes at 25 milli-cores each: 425 of 1,000.
  EXPECT_EQ(choose_serving(make_nodes(2, 15, {25, 0}), {}).size(), 2U);
  // 510 of 1,000.
  EXPECT_EQ(choose_serving(make_nodes(2, 15, {30, 0}), {}).size(), 17U);
  // 204 of 400 Mbit/s.
  EXPECT_EQ(choose_serving(make_nodes(2, 15, {0, 12'000}), {}).size(), 17U);
}

TEST(serving_set, one_large_node_is_not_left_alone) {
  EXPECT_EQ(choose_serving(make_nodes(1, 15), {}).size(), 16U);
}

TEST(serving_set, a_smaller_set_needs_clearly_enough_room) {
  const auto all = choose_serving(make_nodes(2, 15, {30, 0}), {});
  ASSERT_EQ(all.size(), 17U);
  EXPECT_EQ(choose_serving(make_nodes(2, 15, {25, 0}), all).size(), 17U) << "425 of 1,000: no clear room";
  EXPECT_EQ(choose_serving(make_nodes(2, 15, {20, 0}), all).size(), 2U) << "340 of 1,000";
}

TEST(serving_set, callers_are_told_of_large_nodes_until_these_are_lost) {
  const location here{failure_domain_id{"a"}, region_id{"r"}};
  member_table table{node_id{"s1"}};
  time_point now{10'000};
  const auto add = [&](const std::string& id, const node_capacity& capacity) {
    table.add({node_id{id}, here, id + ":80", {}, "", incarnation_id{"1"}, capacity}, now);
  };
  const auto hear = [&](const std::string& id) {
    table.on_beat({node_id{id}, incarnation_id{"1"}, true, false, {}, false, {}}, now);
  };
  for (const auto* const id : {"l1", "l2"}) {
    add(id, large);
    hear(id);
  }
  for (const auto* const id : {"s1", "s2", "s3"}) {
    add(id, small);
    hear(id);
  }
  table.set_self(true, false, {});
  EXPECT_EQ(addresses_for(table.alive(now), here), (std::vector<std::string>{"l1:80", "l2:80"}));
  now = now + heartbeat_silence;
  hear("l2");
  hear("s2");
  hear("s3");
  EXPECT_EQ(addresses_for(table.alive(now), here),
            (std::vector<std::string>{"l2:80", "s1:80", "s2:80", "s3:80"}));
  hear("l1");
  EXPECT_EQ(addresses_for(table.alive(now), here), (std::vector<std::string>{"l1:80", "l2:80"}));
}

}  // namespace
