// Whom a node asks for state that the store may lack, and when it may rely on what it knows.
#include "zinnia/membership/peer_state_sync.hpp"

#include <gtest/gtest.h>

using namespace zinnia;

namespace {

constexpr time_point start{1'000};

[[nodiscard]] std::vector<node_id> nodes(int count) {
  std::vector<node_id> names;
  for (int i = 0; i < count; ++i) {
    names.emplace_back("n" + std::to_string(i));
  }
  return names;
}

TEST(peer_state_sync, a_node_alone_is_done_at_once) {
  peer_state_sync sync;
  EXPECT_FALSE(sync.is_done(start));
  sync.begin({}, start);
  EXPECT_TRUE(sync.is_done(start));
  EXPECT_TRUE(sync.take_due(start).empty());
}

TEST(peer_state_sync, a_start_waits_for_one_node_that_knows) {
  peer_state_sync sync;
  sync.begin(nodes(6), start);
  EXPECT_EQ(sync.take_due(start).size(), 4U);
  sync.on_reply(node_id{"n0"}, state_reply::unavailable, start + duration{10});
  EXPECT_EQ(sync.take_due(start + duration{10}), std::vector{node_id{"n4"}});
  EXPECT_FALSE(sync.is_done(start + duration{10}));
  sync.on_reply(node_id{"n2"}, state_reply::applied, start + duration{20});
  EXPECT_TRUE(sync.is_done(start + duration{20}));
  EXPECT_TRUE(sync.take_due(start + duration{20}).empty());
}

TEST(peer_state_sync, a_start_ends_when_no_node_knows_or_none_answers) {
  peer_state_sync none_knows;
  none_knows.begin(nodes(2), start);
  EXPECT_EQ(none_knows.take_due(start).size(), 2U);
  none_knows.on_reply(node_id{"n0"}, state_reply::unavailable, start);
  EXPECT_FALSE(none_knows.is_done(start));
  none_knows.on_reply(node_id{"n1"}, state_reply::unavailable, start);
  EXPECT_TRUE(none_knows.is_done(start));

  peer_state_sync silent;
  silent.begin(nodes(20), start);
  EXPECT_EQ(silent.take_due(start).size(), 4U);
  EXPECT_FALSE(silent.is_done(start + duration{599}));
  EXPECT_EQ(silent.next_action_at(start), start + duration{600});
  EXPECT_TRUE(silent.is_done(start + duration{600}));
}

TEST(peer_state_sync, a_start_does_not_wait_for_the_list_of_nodes_without_end) {
  peer_state_sync sync;
  EXPECT_FALSE(sync.is_done(start));
  sync.expect(start);
  sync.expect(start + duration{500});
  EXPECT_FALSE(sync.is_done(start + duration{599}));
  EXPECT_EQ(sync.next_action_at(start), start + duration{600});
  EXPECT_TRUE(sync.is_done(start + duration{600}));
  sync.begin(nodes(2), start + duration{700});
  EXPECT_TRUE(sync.is_done(start + duration{700}));
}

TEST(peer_state_sync, a_start_waits_longer_for_a_node_that_has_not_noticed_the_restore_yet) {
  peer_state_sync sync;
  sync.begin(nodes(1), start);
  static_cast<void>(sync.take_due(start));
  sync.on_reply(node_id{"n0"}, state_reply::too_early, start + duration{50});
  EXPECT_TRUE(sync.take_due(start + duration{100}).empty());
  EXPECT_EQ(sync.next_action_at(start + duration{100}), start + duration{150});
  EXPECT_EQ(sync.take_due(start + duration{150}).size(), 1U);
  EXPECT_FALSE(sync.is_done(start + duration{2'499}));
  EXPECT_TRUE(sync.is_done(start + duration{2'500}));
}

TEST(peer_state_sync, a_node_that_notices_a_restore_asks_without_waiting) {
  peer_state_sync sync;
  sync.begin({}, start);
  sync.ask_again(nodes(6), start);
  EXPECT_TRUE(sync.is_done(start));
  EXPECT_EQ(sync.take_due(start).size(), 4U);
  sync.on_reply(node_id{"n0"}, state_reply::too_early, start + duration{10});
  EXPECT_TRUE(sync.is_done(start + duration{10}));
  EXPECT_TRUE(sync.take_due(start + duration{20}).empty());
  EXPECT_EQ(sync.next_action_at(start + duration{20}), start + duration{110});
  EXPECT_EQ(sync.take_due(start + duration{110}), std::vector{node_id{"n0"}});
  sync.on_reply(node_id{"n1"}, state_reply::applied, start + duration{120});
  sync.on_reply(node_id{"n0"}, state_reply::too_early, start + duration{130});
  EXPECT_TRUE(sync.take_due(start + duration{500}).empty());
}

TEST(peer_state_sync, a_newer_configuration_is_asked_for_once_the_store_is_late_with_it) {
  peer_state_sync sync;
  sync.begin({}, start);
  const node_id peer{"n1"};
  sync.on_heartbeat(peer, {7, 0}, {5, 0}, start);
  EXPECT_TRUE(sync.take_due(start).empty());
  sync.on_heartbeat(peer, {7, 0}, {7, 0}, start + duration{300});
  sync.on_heartbeat(peer, {9, 0}, {7, 0}, start + duration{700});
  EXPECT_TRUE(sync.take_due(start + duration{700}).empty());
  sync.on_heartbeat(peer, {9, 0}, {7, 0}, start + duration{1'400});
  EXPECT_EQ(sync.take_due(start + duration{1'400}), std::vector{peer});
  EXPECT_TRUE(sync.take_due(start + duration{1'400}).empty());
}

TEST(peer_state_sync, retained_changes_are_asked_for_once) {
  peer_state_sync sync;
  sync.begin({}, start);
  const node_id peer{"n1"};
  sync.on_heartbeat(peer, {5, 11}, {5, 11}, start);
  EXPECT_TRUE(sync.take_due(start).empty()) << "the same changes";
  sync.on_heartbeat(peer, {5, 12}, {5, 11}, start);
  EXPECT_EQ(sync.take_due(start), std::vector{peer});
  sync.on_reply(peer, state_reply::too_early, start);
  sync.on_heartbeat(peer, {5, 12}, {5, 11}, start + duration{100});
  EXPECT_TRUE(sync.take_due(start + duration{100}).empty());
  EXPECT_EQ(sync.take_due(start + duration{300}), std::vector{peer});
  sync.on_reply(peer, state_reply::applied, start + duration{310});
  sync.on_heartbeat(peer, {5, 12}, {5, 11}, start + duration{700});
  EXPECT_TRUE(sync.take_due(start + duration{700}).empty()) << "told already";
}

}  // namespace
