// Tests which nodes are advertised to callers when VMs differ in size.
#include <gtest/gtest.h>

#include "zinnia/membership/member_table.hpp"
#include "zinnia/membership/serving_set.hpp"

using namespace zinnia;

namespace {

constexpr node_capacity large_vm{500, 200'000};
constexpr node_capacity small_vm{100, 10'000};

/// Returns large nodes `l1`, `l2`, ... and small nodes `s1`, `s2`, ..., all with the same load.
[[nodiscard]] std::vector<serving_candidate> make_nodes(int large_count, int small_count,
                                                        node_load load = {}) {
  std::vector<serving_candidate> nodes;
  for (int i = 1; i <= large_count; ++i) {
    nodes.push_back({node_id{"l" + std::to_string(i)}, large_vm, load});
  }
  for (int i = 1; i <= small_count; ++i) {
    nodes.push_back({node_id{"s" + std::to_string(i)}, small_vm, load});
  }
  return nodes;
}

TEST(serving_set, equal_nodes_all_serve) {
  EXPECT_EQ(choose_serving_nodes(make_nodes(0, 9), {}).size(), 9U);
  EXPECT_EQ(choose_serving_nodes(make_nodes(1, 0), {}).size(), 1U);
  EXPECT_TRUE(choose_serving_nodes({}, {}).empty());
}

TEST(serving_set, large_nodes_serve_alone_while_their_capacity_suffices) {
  EXPECT_EQ(choose_serving_nodes(make_nodes(2, 15), {}), (std::set<node_id>{node_id{"l1"}, node_id{"l2"}}));
  // 17 nodes at 25 milli-cores each use 425 of 1,000 milli-cores.
  EXPECT_EQ(choose_serving_nodes(make_nodes(2, 15, {25, 0}), {}).size(), 2U);
  // 510 of 1,000 milli-cores.
  EXPECT_EQ(choose_serving_nodes(make_nodes(2, 15, {30, 0}), {}).size(), 17U);
  // 204 of 400 Mbit/s.
  EXPECT_EQ(choose_serving_nodes(make_nodes(2, 15, {0, 12'000}), {}).size(), 17U);
}

TEST(serving_set, a_single_large_node_does_not_serve_alone) {
  EXPECT_EQ(choose_serving_nodes(make_nodes(1, 15), {}).size(), 16U);
}

TEST(serving_set, a_smaller_set_needs_ample_spare_capacity) {
  const auto all = choose_serving_nodes(make_nodes(2, 15, {30, 0}), {});
  ASSERT_EQ(all.size(), 17U);
  EXPECT_EQ(choose_serving_nodes(make_nodes(2, 15, {25, 0}), all).size(), 17U)
      << "425 of 1,000 milli-cores: not enough spare capacity";
  EXPECT_EQ(choose_serving_nodes(make_nodes(2, 15, {20, 0}), all).size(), 2U) << "340 of 1,000 milli-cores";
}

TEST(serving_set, large_nodes_are_advertised_until_they_are_unreachable) {
  const location here{failure_domain_id{"a"}, region_id{"r"}};
  member_table table{node_id{"s1"}};
  time_point now{10'000};
  const auto add = [&](const std::string& id, const node_capacity& capacity) {
    table.add({node_id{id}, here, id + ":80", {}, "", incarnation_id{"1"}, capacity}, now);
  };
  const auto receive_heartbeat = [&](const std::string& id) {
    table.on_heartbeat({node_id{id}, incarnation_id{"1"}, true, false, {}, false, {}}, now);
  };
  for (const auto* const id : {"l1", "l2"}) {
    add(id, large_vm);
    receive_heartbeat(id);
  }
  for (const auto* const id : {"s1", "s2", "s3"}) {
    add(id, small_vm);
    receive_heartbeat(id);
  }
  table.set_own_state(true, false, {});
  EXPECT_EQ(advertised_addresses(table.alive(now), here), (std::vector<std::string>{"l1:80", "l2:80"}));
  now = now + heartbeat_timeout;
  receive_heartbeat("l2");
  receive_heartbeat("s2");
  receive_heartbeat("s3");
  EXPECT_EQ(advertised_addresses(table.alive(now), here),
            (std::vector<std::string>{"l2:80", "s1:80", "s2:80", "s3:80"}));
  receive_heartbeat("l1");
  EXPECT_EQ(advertised_addresses(table.alive(now), here), (std::vector<std::string>{"l1:80", "l2:80"}));
}

}  // namespace
