// Nodes that cannot prove that their configuration is current, in heartbeats and in the directory.
#include <gtest/gtest.h>

#include <set>

#include "generated/beat_generated.h"
#include "zinnia/membership/heartbeat_codec.hpp"
#include "zinnia/membership/member_table.hpp"

using namespace zinnia;

namespace {

const location near_a{failure_domain_id{"near-a"}, region_id{"near"}};
const location near_b{failure_domain_id{"near-b"}, region_id{"near"}};

using names = std::set<std::string>;

class unconfirmed_nodes : public testing::Test {
 protected:
  void SetUp() override {
    for (const auto& [id, where] : this->nodes) {
      this->table.add({node_id{id}, where, id, {"127.0.0.1", 70}, "", incarnation_id{"1"}, {}}, this->now);
    }
  }
  /// Returns the nodes that a caller in near-a is told of.
  [[nodiscard]] names advertised(const names& unconfirmed, const names& lost_links) {
    this->table.set_own_state(true, false, {}, !lost_links.contains("me"), !unconfirmed.contains("me"));
    for (const auto& [id, where] : this->nodes) {
      node_heartbeat heartbeat{node_id{id}, incarnation_id{"1"}, true, false, {}, false, {}};
      heartbeat.reaches_backends = !lost_links.contains(id);
      heartbeat.is_confirmed = !unconfirmed.contains(id);
      this->table.on_heartbeat(*decode_heartbeat(encode_heartbeat(heartbeat)), this->now);
    }
    const auto found = advertised_addresses(this->table.alive(this->now), near_a);
    return {found.begin(), found.end()};
  }

  time_point now{10'000};
  std::map<std::string, location> nodes{{"me", near_a}, {"peer", near_a}, {"other", near_b}};
  member_table table{node_id{"me"}};
};

TEST_F(unconfirmed_nodes, are_not_advertised_while_any_node_has_a_proof) {
  EXPECT_EQ(this->advertised({}, {}), (names{"me", "peer"}));
  EXPECT_EQ(this->advertised({"me"}, {}), (names{"peer"}));
  EXPECT_EQ(this->advertised({"me", "peer"}, {}), (names{"other"})) << "callers would get refusals only";
  EXPECT_EQ(this->advertised({"me", "peer", "other"}, {}), (names{"me", "peer"}))
      << "requests on public routes are still served";
}

// Two rules that each leave out nodes must not leave out all of them together.
TEST_F(unconfirmed_nodes, are_left_out_before_nodes_without_links) {
  EXPECT_EQ(this->advertised({"peer"}, {"me"}), (names{"other"}));
  EXPECT_EQ(this->advertised({"peer", "other"}, {"me"}), (names{"me"})) << "it hands requests to peers";
}

// A change that is not published would reach the traffic thread late.
TEST_F(unconfirmed_nodes, differ_from_the_same_nodes_with_a_proof) {
  static_cast<void>(this->advertised({"peer"}, {}));
  const auto alive = this->table.alive(this->now);
  EXPECT_FALSE(alive.at(node_id{"peer"}).is_confirmed);
  auto regained = alive.at(node_id{"peer"});
  regained.is_confirmed = true;
  EXPECT_NE(alive.at(node_id{"peer"}), regained);
}

// Nodes of older builds send no such field; without the setting the bytes stay as they are.
TEST(unconfirmed_heartbeat, is_written_only_without_a_proof) {
  node_heartbeat heartbeat{node_id{"a"}, incarnation_id{"1"}, true, false, {}, false, {}};
  const auto has_field = [](const std::string& bytes) {
    return flatbuffers::GetRoot<flatbuffers::Table>(bytes.data())
               ->GetOptionalFieldOffset(membership::fbs::Beat::VT_UNCONFIRMED) != 0;
  };
  EXPECT_FALSE(has_field(encode_heartbeat(heartbeat)));
  EXPECT_TRUE(decode_heartbeat(encode_heartbeat(heartbeat))->is_confirmed);
  heartbeat.is_confirmed = false;
  EXPECT_TRUE(has_field(encode_heartbeat(heartbeat)));
  EXPECT_FALSE(decode_heartbeat(encode_heartbeat(heartbeat))->is_confirmed);
}

}  // namespace
