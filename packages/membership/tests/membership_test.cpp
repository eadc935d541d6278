// Liveness, what callers are told, and the codecs.
#include <gtest/gtest.h>

#include <random>

#include "zinnia/membership/beat_codec.hpp"
#include "zinnia/membership/member_codec.hpp"

using namespace zinnia;

namespace {

const location near_a{failure_domain_id{"near-a"}, region_id{"near"}};
const location near_b{failure_domain_id{"near-b"}, region_id{"near"}};
const location far_a{failure_domain_id{"far-a"}, region_id{"far"}};

[[nodiscard]] member make_member(const std::string& id, const location& where, const std::string& run = "1") {
  return {node_id{id}, where, id + ":80", ip_endpoint{"127.0.0.1", 70}, id + ":90", incarnation_id{run}, {}};
}

[[nodiscard]] member_beat make_beat(const std::string& id, const std::string& run = "1") {
  return {node_id{id}, incarnation_id{run}, true, false, {}, false, {}};
}

class members : public testing::Test {
 protected:
  void SetUp() override {
    this->table.add(make_member("me", near_a), this->now);
    this->table.add(make_member("peer", near_a), this->now);
    this->table.add(make_member("other", near_b), this->now);
    this->table.add(make_member("far", far_a), this->now);
    this->table.set_self(true, false, {});
  }
  void hear(const std::vector<std::string>& names) {
    for (const auto& name : names) {
      this->table.on_beat(make_beat(name), this->now);
    }
  }
  [[nodiscard]] std::vector<std::string> told(const location& caller) {
    return addresses_for(this->table.alive(this->now), caller);
  }

  time_point now{10'000};
  member_table table{node_id{"me"}};
};

TEST_F(members, callers_are_told_of_living_nodes_near_them) {
  EXPECT_EQ(this->told(far_a), (std::vector<std::string>{"me:80"})) << "nobody else was heard";
  this->hear({"peer", "other", "far"});
  EXPECT_EQ(this->told(near_a), (std::vector<std::string>{"me:80", "peer:80"}));
  EXPECT_EQ(this->told(near_b), (std::vector<std::string>{"other:80"}));
  EXPECT_EQ(this->told({failure_domain_id{"far-b"}, region_id{"far"}}), (std::vector<std::string>{"far:80"}));
  this->now = this->now + duration{500};
  this->hear({"peer"});
  this->now = this->now + duration{700};
  EXPECT_EQ(this->told(near_b), (std::vector<std::string>{"me:80", "peer:80"})) << "other has fallen silent";
}

TEST_F(members, nodes_that_leave_or_are_not_ready_are_not_named) {
  this->hear({"peer"});
  auto beat = make_beat("peer");
  beat.leaving = true;
  this->table.on_beat(beat, this->now);
  EXPECT_EQ(this->told(near_a), (std::vector<std::string>{"me:80"}));
  this->table.set_self(true, true, {});
  EXPECT_TRUE(this->told(near_a).empty());
}

TEST_F(members, a_former_runs_heartbeat_does_not_vouch_for_the_next) {
  this->hear({"peer"});
  this->table.add(make_member("peer", near_a, "2"), this->now);
  EXPECT_EQ(this->told(near_a).size(), 1U);
  this->table.on_beat(make_beat("peer", "1"), this->now);
  EXPECT_EQ(this->told(near_a).size(), 1U);
  this->table.on_beat(make_beat("peer", "2"), this->now);
  EXPECT_EQ(this->told(near_a).size(), 2U);
}

TEST_F(members, the_nearest_living_node_forgets_one_that_fell_silent) {
  this->hear({"peer", "other", "far"});
  this->now = this->now + duration{16'000};
  this->hear({"other", "far"});
  EXPECT_EQ(this->table.to_forget(this->now), (std::vector<node_id>{node_id{"peer"}}));
  this->now = this->now + duration{16'000};
  this->hear({"other"});
  EXPECT_EQ(this->table.to_forget(this->now), (std::vector<node_id>{node_id{"far"}, node_id{"peer"}}))
      << "nobody nearer to far is alive, and me comes before other";
  this->hear({"peer"});
  this->table.add(make_member("gone", near_b), this->now);
  this->table.on_beat(make_beat("gone"), this->now);
  this->now = this->now + duration{16'000};
  this->hear({"peer", "other", "far"});
  EXPECT_TRUE(this->table.to_forget(this->now).empty()) << "other is nearer to gone";
}

/// With more nodes than heartbeats go to, most are never heard here; they must not be taken for dead.
TEST_F(members, nodes_that_send_their_heartbeats_elsewhere_are_not_forgotten) {
  for (int i = 0; i < 60; ++i) {
    this->table.add(make_member("x" + std::to_string(i), far_a), this->now);
  }
  this->now = this->now + duration{16'000};
  this->hear({"peer", "other", "far"});
  EXPECT_TRUE(this->table.to_forget(this->now).empty());
  this->now = this->now + duration{100'000};
  this->hear({"peer", "other", "far"});
  EXPECT_TRUE(this->table.to_forget(this->now).empty());
}

/// A node that started with few others known was heard everywhere for a moment; later its heartbeats go to
/// the nearest only. Its entry must stay.
TEST_F(members, a_node_heard_only_while_few_were_known_is_not_forgotten) {
  for (int i = 0; i < 30; ++i) {
    this->table.add(make_member("a" + std::to_string(i), far_a), this->now);
  }
  this->hear({"peer", "other", "far", "a3"});
  this->now = this->now + duration{16'000};
  this->hear({"peer", "other"});
  EXPECT_TRUE(this->table.to_forget(this->now).empty());
}

/// In a domain with more nodes than a node has peers, each one must be heard by some.
TEST_F(members, every_node_of_a_large_domain_is_heard_by_as_many) {
  constexpr int nodes = 86;
  std::map<node_id, int> heard_by;
  const auto name = [](int i) { return "n" + std::to_string(100 + i); };
  for (int i = 0; i < nodes; ++i) {
    member_table one{node_id{name(i)}};
    for (int k = 0; k < nodes; ++k) {
      one.add(make_member(name(k), far_a), this->now);
    }
    for (const auto& peer : one.peers()) {
      ++heard_by[peer.id];
    }
  }
  for (int i = 0; i < nodes; ++i) {
    EXPECT_EQ(heard_by[node_id{name(i)}], static_cast<int>(most_heartbeat_peers)) << i;
  }
}

TEST_F(members, heartbeats_go_to_the_nearest_within_a_bound) {
  for (int i = 0; i < 40; ++i) {
    this->table.add(make_member("x" + std::to_string(i), i < 10 ? near_b : far_a), this->now);
  }
  const auto peers = this->table.peers();
  EXPECT_EQ(peers.size(), most_heartbeat_peers);
  EXPECT_EQ(peers.front().id, node_id{"peer"});
  EXPECT_EQ(peers.at(5).where.domain, near_b.domain);
}

TEST(codecs, survive_the_wire_and_any_bytes) {
  const auto beat = make_beat("node-1", "run-1");
  const auto decoded = decode_beat(encode_beat(beat));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->id, beat.id);
  EXPECT_EQ(decoded->incarnation, beat.incarnation);
  EXPECT_TRUE(decoded->ready);
  EXPECT_FALSE(decoded->leaving);
  const auto whole = encode_beat(beat);
  std::mt19937 random{1};
  for (int i = 0; i < 20'000; ++i) {
    auto bytes = whole.substr(0, random() % (whole.size() + 1));
    for (auto flips = random() % 4; flips > 0 && !bytes.empty(); --flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    static_cast<void>(decode_beat(bytes));
  }
  const auto self = make_member("node-1", near_a);
  const auto entry = decode_member("node-1", encode_member(self));
  ASSERT_TRUE(entry);
  EXPECT_EQ(*entry, self);
  EXPECT_EQ(entry->operator_address, self.operator_address);
  EXPECT_FALSE(decode_member("node-1", R"({"domain":"near-a"})"));
  EXPECT_FALSE(decode_member("node-1", "not json"));
}

}  // namespace
