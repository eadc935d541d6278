// Nodes that have lost their links to the backend servers, in heartbeats, the directory and the serving set.
#include <gtest/gtest.h>

#include "zinnia/membership/heartbeat_codec.hpp"
#include "zinnia/membership/member_table.hpp"

using namespace zinnia;

namespace {

const location near_a{failure_domain_id{"near-a"}, region_id{"near"}};
const location near_b{failure_domain_id{"near-b"}, region_id{"near"}};
const location far_a{failure_domain_id{"far-a"}, region_id{"far"}};

/// Two nodes in one domain, one in another, and one in another region.
class lost_links : public testing::Test {
 protected:
  void SetUp() override {
    this->add("me", near_a);
    this->add("peer", near_a);
    this->add("other", near_b);
    this->add("far", far_a);
    this->set_lost({});
  }
  void add(const std::string& id, const location& where, node_capacity capacity = {}) {
    this->table.add(
        {node_id{id}, where, id + ":80", {"127.0.0.1", 70}, id + ":90", incarnation_id{"1"}, capacity},
        this->now);
    this->names.push_back(id);
  }
  void set_lost(const std::set<std::string>& lost) {
    this->table.set_own_state(true, false, {}, !lost.contains("me"));
    for (const auto& id : this->names) {
      node_heartbeat heartbeat{node_id{id}, incarnation_id{"1"}, true, false, {}, false, {}};
      heartbeat.reaches_backends = !lost.contains(id);
      this->table.on_heartbeat(*decode_heartbeat(encode_heartbeat(heartbeat)), this->now);
    }
  }
  [[nodiscard]] std::vector<std::string> advertised_to(const location& caller) {
    return advertised_addresses(this->table.alive(this->now), caller);
  }

  time_point now{10'000};
  member_table table{node_id{"me"}};
  std::vector<std::string> names;
};

using addresses = std::vector<std::string>;

TEST_F(lost_links, of_a_node_are_told_in_its_heartbeat) {
  this->set_lost({"me", "far"});
  const auto alive = this->table.alive(this->now);
  ASSERT_EQ(alive.size(), 4U) << "a node without links still takes requests";
  EXPECT_FALSE(alive.at(node_id{"me"}).reaches_backends);
  EXPECT_FALSE(alive.at(node_id{"far"}).reaches_backends);
  EXPECT_TRUE(alive.at(node_id{"peer"}).reaches_backends);
  auto regained = alive.at(node_id{"far"});
  regained.reaches_backends = true;
  EXPECT_NE(alive.at(node_id{"far"}), regained) << "the change would not be published";
}

TEST_F(lost_links, of_a_node_send_its_callers_to_another_one) {
  this->set_lost({"peer"});
  EXPECT_EQ(this->advertised_to(near_a), (addresses{"me:80"}));
  this->set_lost({"me"});
  EXPECT_EQ(this->advertised_to(near_a), (addresses{"peer:80"}));
}

TEST_F(lost_links, of_a_domain_send_its_callers_to_the_region_and_then_elsewhere) {
  this->set_lost({"me", "peer"});
  EXPECT_EQ(this->advertised_to(near_a), (addresses{"other:80"}));
  EXPECT_EQ(this->advertised_to(far_a), (addresses{"far:80"}));
  this->set_lost({"me", "peer", "other"});
  EXPECT_EQ(this->advertised_to(near_a), (addresses{"far:80"}));
  this->set_lost({});
  EXPECT_EQ(this->advertised_to(near_a), (addresses{"me:80", "peer:80"}));
}

TEST_F(lost_links, of_all_nodes_change_nothing) {
  this->set_lost({"me", "peer", "other", "far"});
  EXPECT_EQ(this->advertised_to(near_a), (addresses{"me:80", "peer:80"}));
  EXPECT_EQ(this->advertised_to(near_b), (addresses{"other:80"}));
}

TEST_F(lost_links, of_the_serving_nodes_bring_in_those_that_stand_by) {
  const location big{failure_domain_id{"big"}, region_id{"far"}};
  this->add("large-1", big, {8000, 1'000'000});
  this->add("large-2", big, {8000, 1'000'000});
  this->add("small", big, {1000, 100'000});
  this->set_lost({});
  EXPECT_EQ(this->advertised_to(big), (addresses{"large-1:80", "large-2:80"}));
  this->set_lost({"large-1", "large-2"});
  EXPECT_EQ(this->advertised_to(big), (addresses{"small:80"}));
  EXPECT_FALSE(this->table.alive(this->now).at(node_id{"large-1"}).serves)
      << "it would take a part of the rate limits and warm cold servers";
}

}  // namespace
