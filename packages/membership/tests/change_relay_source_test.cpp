// Tests which node relays store changes to a node, and how a node detects that it is missing changes.
#include <gtest/gtest.h>

#include <algorithm>

#include "zinnia/membership/member_table.hpp"

using namespace zinnia;

namespace {

const location here{failure_domain_id{"a"}, region_id{"r"}};
const location neighbour{failure_domain_id{"b"}, region_id{"r"}};

class change_relay_source_test : public testing::Test {
 protected:
  void add(const std::string& id, const location& where, int cpu_milli) {
    this->table.add({node_id{id}, where, id + ":80", {}, "", incarnation_id{"1"}, {cpu_milli, 1000}},
                    this->now);
  }
  void receive_heartbeat(const std::string& id, bool watching, std::int64_t latest_version = 5) {
    this->table.on_heartbeat(
        {node_id{id}, incarnation_id{"1"}, true, false, {}, watching, {object_version{latest_version}}},
        this->now);
  }
  [[nodiscard]] std::string source() {
    static_cast<void>(this->table.alive(this->now));
    const auto found = this->table.change_relay_source(this->now);
    return found ? found->id.str() : "";
  }
  [[nodiscard]] bool is_behind(std::int64_t known) const {
    return this->table.is_behind({object_version{known}}, this->now);
  }
  void SetUp() override {
    this->add("me", here, 100);
    this->add("l1", here, 500);
    this->add("l2", here, 500);
    this->add("far", neighbour, 500);
    this->table.set_own_state(true, false, {});
  }

  time_point now{10'000};
  member_table table{node_id{"me"}};
};

TEST_F(change_relay_source_test, is_a_serving_node_of_the_domain_that_watches) {
  this->receive_heartbeat("far", true);
  EXPECT_EQ(this->source(), "") << "this node is the only serving node of its domain";
  this->receive_heartbeat("l1", false);
  this->receive_heartbeat("l2", true);
  EXPECT_EQ(this->source(), "l2") << "l1 does not watch";
  this->receive_heartbeat("l1", true);
  const auto first = this->source();
  EXPECT_FALSE(first.empty());
  this->now = this->now + heartbeat_timeout;
  this->receive_heartbeat(first == "l1" ? "l2" : "l1", true);
  EXPECT_NE(this->source(), first) << "its heartbeat is overdue";
  this->now = this->now + heartbeat_timeout;
  EXPECT_EQ(this->source(), "") << "all heartbeats are overdue";
}

TEST_F(change_relay_source_test, a_serving_node_has_no_source_while_few_nodes_watch) {
  this->add("me", here, 500);
  static_assert(max_store_watchers == 2);
  this->receive_heartbeat("l1", true);
  this->receive_heartbeat("l2", false);
  EXPECT_EQ(this->source(), "");
}

/// Equal nodes all serve. As many of them as allowed must watch the store, and each
/// other node must follow one of these, so that no nodes follow each other in a cycle.
TEST(change_relay_sources, as_many_equal_nodes_watch_as_allowed) {
  constexpr int nodes = 12;
  const auto name = [](int i) { return "n" + std::to_string(i); };
  const time_point now{10'000};
  std::vector<bool> watching(nodes, true);
  std::vector<std::string> sources(nodes);
  // Each node decides in turn, knowing the decisions of the others from their heartbeats.
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < nodes; ++i) {
      member_table table{node_id{name(i)}};
      for (int k = 0; k < nodes; ++k) {
        table.add({node_id{name(k)}, here, "", {}, "", incarnation_id{"1"}, {}}, now);
        table.on_heartbeat({node_id{name(k)}, incarnation_id{"1"}, true, false, {}, watching[k], {}}, now);
      }
      table.set_own_state(true, false, {});
      static_cast<void>(table.alive(now));
      const auto source = table.change_relay_source(now);
      watching[i] = !source;
      sources[i] = source ? source->id.str() : "";
    }
  }
  EXPECT_EQ(std::count(watching.begin(), watching.end(), true),
            static_cast<std::ptrdiff_t>(max_store_watchers));
  for (int i = 0; i < nodes; ++i) {
    EXPECT_TRUE(sources[i].empty() || watching[std::stoi(sources[i].substr(1))]) << i;
  }
}

TEST_F(change_relay_source_test, a_node_is_behind_when_a_watching_node_knows_a_later_change) {
  this->receive_heartbeat("far", true, 9);
  EXPECT_TRUE(this->is_behind(8));
  EXPECT_FALSE(this->is_behind(9));
  this->receive_heartbeat("far", false, 9);
  EXPECT_FALSE(this->is_behind(8)) << "far no longer watches the store";
  this->receive_heartbeat("far", true, 9);
  this->now = this->now + heartbeat_timeout;
  EXPECT_FALSE(this->is_behind(8)) << "its heartbeat is overdue";
}

// The store rejects a part of the nodes at times, also whole domains.
TEST_F(change_relay_source_test, of_a_refused_node_is_the_nearest_one_that_watches) {
  this->add("remote", {failure_domain_id{"c"}, region_id{"s"}}, 500);
  const auto nearest = [this] {
    const auto found = this->table.nearest_watching_node(this->now);
    return found ? found->id.str() : "";
  };
  this->receive_heartbeat("l1", false);
  EXPECT_EQ(nearest(), "") << "a node that follows is no source, or nodes would follow each other in a cycle";
  this->receive_heartbeat("remote", true);
  EXPECT_EQ(nearest(), "remote");
  this->receive_heartbeat("far", true);
  EXPECT_EQ(nearest(), "far") << "same region";
  this->receive_heartbeat("l1", true);
  EXPECT_EQ(nearest(), "l1") << "same failure domain";
  this->now = this->now + heartbeat_timeout;
  EXPECT_EQ(nearest(), "") << "all heartbeats are overdue";
}

}  // namespace
