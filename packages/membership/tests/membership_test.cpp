// Tests of liveness, expiry, advertised addresses, heartbeat peers and the codecs.
#include <gtest/gtest.h>

#include <random>

#include "zinnia/membership/heartbeat_codec.hpp"
#include "zinnia/membership/member_codec.hpp"
#include "zinnia/membership/notice_peers.hpp"

using namespace zinnia;

namespace {

const location near_a{failure_domain_id{"near-a"}, region_id{"near"}};
const location near_b{failure_domain_id{"near-b"}, region_id{"near"}};
const location far_a{failure_domain_id{"far-a"}, region_id{"far"}};

[[nodiscard]] member make_member(const std::string& id, const location& where,
                                 const std::string& incarnation = "1") {
  return {
      node_id{id}, where, id + ":80", ip_endpoint{"127.0.0.1", 70}, id + ":90", incarnation_id{incarnation},
      {}};
}

[[nodiscard]] node_heartbeat make_heartbeat(const std::string& id, const std::string& incarnation = "1") {
  return {node_id{id}, incarnation_id{incarnation}, true, false, {}, false, {}};
}

class member_table_test : public testing::Test {
 protected:
  void SetUp() override {
    this->table.add(make_member("me", near_a), this->now);
    this->table.add(make_member("peer", near_a), this->now);
    this->table.add(make_member("other", near_b), this->now);
    this->table.add(make_member("far", far_a), this->now);
    this->table.set_own_state(true, false, {});
  }
  void receive_heartbeats(const std::vector<std::string>& names) {
    for (const auto& name : names) {
      this->table.on_heartbeat(make_heartbeat(name), this->now);
    }
  }
  [[nodiscard]] std::vector<std::string> advertised_to(const location& caller) {
    return advertised_addresses(this->table.alive(this->now), caller);
  }

  time_point now{10'000};
  member_table table{node_id{"me"}};
};

// Guards against a share that is given to others while its node is only disconnected.
TEST_F(member_table_test, holders_of_limits_follow_the_registry_and_not_heartbeats) {
  const auto before = this->table.holders_of_limits();
  ASSERT_EQ(before.all.size(), 4);
  ASSERT_TRUE(before.self);
  EXPECT_EQ(before.all[*before.self].id, node_id{"me"});
  EXPECT_EQ(before.all[0].distance, 2) << "far";
  this->receive_heartbeats({"peer"});
  this->now = this->now + duration{10'000};
  static_cast<void>(this->table.alive(this->now));
  EXPECT_EQ(this->table.holders_of_limits(), before);
  this->table.remove(node_id{"far"});
  EXPECT_EQ(this->table.holders_of_limits().all.size(), 3);
  member_table unregistered{node_id{"me"}};
  unregistered.add(make_member("peer", near_a), this->now);
  EXPECT_FALSE(unregistered.holders_of_limits().self);
}

TEST_F(member_table_test, nearest_alive_nodes_are_advertised_to_callers) {
  EXPECT_EQ(this->advertised_to(far_a), (std::vector<std::string>{"me:80"}))
      << "no other node has sent a heartbeat";
  this->receive_heartbeats({"peer", "other", "far"});
  EXPECT_EQ(this->advertised_to(near_a), (std::vector<std::string>{"me:80", "peer:80"}));
  EXPECT_EQ(this->advertised_to(near_b), (std::vector<std::string>{"other:80"}));
  EXPECT_EQ(this->advertised_to({failure_domain_id{"far-b"}, region_id{"far"}}),
            (std::vector<std::string>{"far:80"}));
  this->now = this->now + duration{500};
  this->receive_heartbeats({"peer"});
  this->now = this->now + duration{700};
  EXPECT_EQ(this->advertised_to(near_b), (std::vector<std::string>{"me:80", "peer:80"}))
      << "the heartbeat of other is overdue";
}

TEST_F(member_table_test, leaving_nodes_are_not_advertised) {
  this->receive_heartbeats({"peer"});
  auto heartbeat = make_heartbeat("peer");
  heartbeat.leaving = true;
  this->table.on_heartbeat(heartbeat, this->now);
  EXPECT_EQ(this->advertised_to(near_a), (std::vector<std::string>{"me:80"}));
  this->table.set_own_state(true, true, {});
  EXPECT_TRUE(this->advertised_to(near_a).empty());
}

TEST_F(member_table_test, heartbeats_of_an_earlier_incarnation_are_ignored) {
  this->receive_heartbeats({"peer"});
  this->table.add(make_member("peer", near_a, "2"), this->now);
  EXPECT_EQ(this->advertised_to(near_a).size(), 1U);
  this->table.on_heartbeat(make_heartbeat("peer", "1"), this->now);
  EXPECT_EQ(this->advertised_to(near_a).size(), 1U);
  this->table.on_heartbeat(make_heartbeat("peer", "2"), this->now);
  EXPECT_EQ(this->advertised_to(near_a).size(), 2U);
}

TEST_F(member_table_test, the_nearest_alive_node_removes_an_expired_node) {
  this->receive_heartbeats({"peer", "other", "far"});
  this->now = this->now + duration{16'000};
  this->receive_heartbeats({"other", "far"});
  EXPECT_EQ(this->table.nodes_to_remove(this->now), (std::vector<node_id>{node_id{"peer"}}));
  this->now = this->now + duration{16'000};
  this->receive_heartbeats({"other"});
  EXPECT_EQ(this->table.nodes_to_remove(this->now), (std::vector<node_id>{node_id{"far"}, node_id{"peer"}}))
      << "no node nearer to far is alive, and me precedes other by name";
  this->receive_heartbeats({"peer"});
  this->table.add(make_member("gone", near_b), this->now);
  this->table.on_heartbeat(make_heartbeat("gone"), this->now);
  this->now = this->now + duration{16'000};
  this->receive_heartbeats({"peer", "other", "far"});
  EXPECT_TRUE(this->table.nodes_to_remove(this->now).empty()) << "other is nearer to gone than this node";
}

/// With more nodes than a node has heartbeat peers, most never
/// send a heartbeat to this node. They must not expire here.
TEST_F(member_table_test, nodes_with_other_heartbeat_peers_are_not_removed) {
  for (int i = 0; i < 60; ++i) {
    this->table.add(make_member("x" + std::to_string(i), far_a), this->now);
  }
  this->now = this->now + duration{16'000};
  this->receive_heartbeats({"peer", "other", "far"});
  EXPECT_TRUE(this->table.nodes_to_remove(this->now).empty());
  this->now = this->now + duration{100'000};
  this->receive_heartbeats({"peer", "other", "far"});
  EXPECT_TRUE(this->table.nodes_to_remove(this->now).empty());
}

/// While a node knows few others, it sends heartbeats to all of them; once the registry has grown, only to
/// the nearest. The nodes that no longer receive them must not remove its entry.
TEST_F(member_table_test, a_node_that_stops_sending_here_as_the_registry_grows_is_not_removed) {
  for (int i = 0; i < 30; ++i) {
    this->table.add(make_member("a" + std::to_string(i), far_a), this->now);
  }
  this->receive_heartbeats({"peer", "other", "far", "a3"});
  this->now = this->now + duration{16'000};
  this->receive_heartbeats({"peer", "other"});
  EXPECT_TRUE(this->table.nodes_to_remove(this->now).empty());
}

/// Guards against nodes that receive no heartbeats, or whose heartbeats nobody
/// receives, in a failure domain with more nodes than a node has peers.
TEST_F(member_table_test, every_node_of_a_large_domain_has_equally_many_senders) {
  constexpr int node_count = 86;
  std::map<node_id, int> senders;
  const auto name = [](int i) { return "n" + std::to_string(100 + i); };
  for (int i = 0; i < node_count; ++i) {
    member_table sender{node_id{name(i)}};
    for (int k = 0; k < node_count; ++k) {
      sender.add(make_member(name(k), far_a), this->now);
    }
    for (const auto& peer : sender.peers()) {
      ++senders[peer.id];
    }
  }
  for (int i = 0; i < node_count; ++i) {
    EXPECT_EQ(senders[node_id{name(i)}], static_cast<int>(max_heartbeat_peers)) << i;
  }
}

TEST_F(member_table_test, heartbeat_peers_are_the_nearest_nodes_up_to_the_limit) {
  for (int i = 0; i < 40; ++i) {
    this->table.add(make_member("x" + std::to_string(i), i < 10 ? near_b : far_a), this->now);
  }
  const auto peers = this->table.peers();
  EXPECT_EQ(peers.size(), max_heartbeat_peers);
  EXPECT_EQ(peers.front().id, node_id{"peer"});
  EXPECT_EQ(peers.at(5).where.domain, near_b.domain);
}

TEST_F(member_table_test, crash_reports_reach_the_nodes_of_all_regions_although_heartbeats_do_not) {
  constexpr int node_count = 90;
  constexpr int region_count = 3;
  std::map<node_id, member_table> tables;
  std::map<std::uint16_t, node_id> by_port;
  for (int i = 0; i < node_count; ++i) {
    const auto id = "n" + std::to_string(100 + i);
    tables.emplace(node_id{id}, node_id{id});
    by_port.emplace(static_cast<std::uint16_t>(i + 1), id);
  }
  for (auto& [id, table] : tables) {
    table.set_own_state(true, false, {});
    for (const auto& [port, other] : by_port) {
      const auto region = "r" + std::to_string(port % region_count);
      auto registered = make_member(other.str(), {failure_domain_id{region + "-a"}, region_id{region}});
      registered.notice_port = port;
      table.add(registered, this->now);
    }
  }
  for (const auto& [id, table] : tables) {
    for (const auto& peer : table.peers()) {
      tables.at(peer.id).on_heartbeat(make_heartbeat(id.str()), this->now);
    }
  }
  std::vector<node_id> told{tables.begin()->first};
  std::set<node_id> reached{told.front()};
  while (!told.empty()) {
    const auto sender = told.back();
    told.pop_back();
    for (const auto& peer : crash_report_peers(tables.at(sender).registered_notice_addresses(), sender)) {
      if (reached.insert(by_port.at(peer.port)).second) {
        told.push_back(by_port.at(peer.port));
      }
    }
  }
  EXPECT_EQ(reached.size(), static_cast<std::size_t>(node_count));
}

TEST(codecs, round_trip_values_and_tolerate_corrupt_input) {
  const auto heartbeat = make_heartbeat("node-1", "run-1");
  const auto decoded = decode_heartbeat(encode_heartbeat(heartbeat));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->id, heartbeat.id);
  EXPECT_EQ(decoded->incarnation, heartbeat.incarnation);
  EXPECT_TRUE(decoded->ready);
  EXPECT_FALSE(decoded->leaving);
  const auto encoded = encode_heartbeat(heartbeat);
  std::mt19937 random{1};
  for (int i = 0; i < 20'000; ++i) {
    auto corrupted = encoded.substr(0, random() % (encoded.size() + 1));
    for (auto flips = random() % 4; flips > 0 && !corrupted.empty(); --flips) {
      corrupted[random() % corrupted.size()] = static_cast<char>(random());
    }
    static_cast<void>(decode_heartbeat(corrupted));
  }
  const auto registered = make_member("node-1", near_a);
  const auto entry = decode_member("node-1", encode_member(registered));
  ASSERT_TRUE(entry);
  EXPECT_EQ(*entry, registered);
  EXPECT_EQ(entry->operator_address, registered.operator_address);
  EXPECT_FALSE(decode_member("node-1", R"({"domain":"near-a"})"));
  EXPECT_FALSE(decode_member("node-1", "not json"));
}

}  // namespace
