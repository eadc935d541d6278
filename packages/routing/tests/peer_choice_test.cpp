// Which node serves the requests of a node that cannot reach the backend servers.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "zinnia/core/rendezvous.hpp"
#include "zinnia/routing/peer_choice.hpp"

using namespace zinnia;

namespace {

constexpr time_point start{1'000'000};

[[nodiscard]] forwarding_peer make_peer(const std::string& name, const std::string& domain,
                                        const std::string& region) {
  return {node_id{name}, {failure_domain_id{domain}, region_id{region}}, {"10.0.0.1", 7000}};
}
[[nodiscard]] peer_choice make_choice(const std::vector<forwarding_peer>& peers) {
  peer_choice choice{{failure_domain_id{"d1"}, region_id{"r1"}}};
  choice.set_peers(peers);
  return choice;
}
/// Requests of which none ends; returns the number that each peer gets.
[[nodiscard]] std::map<std::string, int> spread(peer_choice& choice, int requests,
                                                const std::set<region_id>& allowed = {}) {
  std::map<std::string, int> counts;
  for (int i = 0; i < requests; ++i) {
    const auto* const peer = choice.choose({{&allowed}, nullptr, stable_hash(std::to_string(i))}, start);
    if (peer != nullptr) {
      ++counts[peer->id.str()];
      choice.on_sent(peer->id, start);
    }
  }
  return counts;
}

const auto own_a = make_peer("own-a", "d1", "r1");
const auto own_b = make_peer("own-b", "d1", "r1");
const auto region_a = make_peer("region-a", "d2", "r1");
const auto far_a = make_peer("far-a", "d3", "r2");
const auto far_b = make_peer("far-b", "d4", "r2");

struct location_case {
  const char* name;
  std::vector<forwarding_peer> peers;
  std::set<region_id> allowed;
  std::set<std::string> expected;
};

TEST(peer_choice, prefers_near_peers_and_spreads_over_at_least_two) {
  const region_id r2{"r2"};
  const region_id r3{"r3"};
  const std::vector<location_case> cases{
      {"none", {}, {}, {}},
      {"one", {far_a}, {}, {"far-a"}},
      {"own failure domain", {own_a, own_b, region_a, far_a}, {}, {"own-a", "own-b"}},
      {"own region joins a single peer", {own_a, region_a, far_a}, {}, {"own-a", "region-a"}},
      {"other regions join a single peer", {region_a, far_a, far_b}, {}, {"region-a", "far-a", "far-b"}},
      {"only other regions", {far_a, far_b}, {}, {"far-a", "far-b"}},
      {"the own region may always serve", {own_a, region_a, far_a}, {r3}, {"own-a", "region-a"}},
      {"a region that may not serve", {far_a, far_b}, {r3}, {}},
      {"a region that may serve", {own_a, far_a}, {r2}, {"own-a", "far-a"}},
      {"a single peer if no others may serve", {own_a, far_a}, {r3}, {"own-a"}},
  };
  for (const auto& row : cases) {
    auto choice = make_choice(row.peers);
    std::set<std::string> used;
    for (const auto& [peer, count] : spread(choice, 60, row.allowed)) {
      used.insert(peer);
    }
    EXPECT_EQ(used, row.expected) << row.name;
  }
}

TEST(peer_choice, peers_that_are_equally_near_get_about_the_same_number) {
  auto choice = make_choice({own_a, own_b, make_peer("own-c", "d1", "r1")});
  for (const auto& [peer, count] : spread(choice, 300)) {
    EXPECT_NEAR(count, 100, 10) << peer;
  }
}

TEST(peer_choice, finished_requests_count_for_a_while) {
  auto choice = make_choice({own_a, own_b});
  std::map<std::string, int> counts;
  for (int i = 0; i < 100; ++i) {
    const auto* const peer = choice.choose({{}, nullptr, 0}, start);
    ASSERT_NE(peer, nullptr);
    ++counts[peer->id.str()];
    choice.on_sent(peer->id, start);
    choice.on_ended(peer->id);
  }
  EXPECT_EQ(counts["own-a"], 50);
  EXPECT_EQ(counts["own-b"], 50);
}

TEST(peer_choice, a_slow_peer_gets_fewer_requests) {
  auto choice = make_choice({own_a, own_b});
  for (int i = 0; i < 5; ++i) {
    choice.on_sent(own_a.id, start);
  }
  for (int i = 0; i < 20; ++i) {
    const auto* const peer = choice.choose({{}, nullptr, static_cast<std::uint64_t>(i)}, start);
    ASSERT_NE(peer, nullptr);
    EXPECT_EQ(peer->id, own_b.id);
    choice.on_sent(peer->id, start);
    choice.on_ended(peer->id);
  }
  EXPECT_EQ(choice.in_flight(own_a.id), 5);
  EXPECT_EQ(choice.in_flight(own_b.id), 0);
}

TEST(peer_choice, a_peer_that_was_tried_is_not_chosen_again) {
  const auto choice = make_choice({own_a, own_b});
  const std::vector<node_id> one{own_a.id};
  const std::vector<node_id> both{own_a.id, own_b.id};
  for (std::uint64_t hash = 0; hash < 10; ++hash) {
    const auto* const peer = choice.choose({{}, &one, hash}, start);
    ASSERT_NE(peer, nullptr);
    EXPECT_EQ(peer->id, own_b.id);
    EXPECT_EQ(choice.choose({{}, &both, hash}, start), nullptr);
  }
}

TEST(peer_choice, a_failing_peer_is_left_out_for_a_while) {
  struct pause_case {
    const char* name;
    void (peer_choice::*report)(const node_id&, time_point);
    duration pause;
  };
  const std::vector<pause_case> cases{
      {"unreachable", &peer_choice::on_unreachable, peer_choice::failure_pause},
      {"refused", &peer_choice::on_refused, peer_choice::refusal_pause},
  };
  for (const auto& row : cases) {
    auto choice = make_choice({own_a});
    (choice.*row.report)(own_a.id, start);
    EXPECT_EQ(choice.choose({}, start), nullptr) << row.name;
    EXPECT_EQ(choice.choose({}, start + row.pause - duration{1}), nullptr) << row.name;
    EXPECT_NE(choice.choose({}, start + row.pause), nullptr) << row.name;
  }
}

TEST(peer_choice, a_refusal_does_not_shorten_the_pause_of_an_unreachable_peer) {
  auto choice = make_choice({own_a});
  choice.on_unreachable(own_a.id, start);
  choice.on_refused(own_a.id, start);
  EXPECT_EQ(choice.choose({}, start + peer_choice::refusal_pause), nullptr);
}

TEST(peer_choice, a_peer_that_stays_keeps_its_state_until_it_starts_again) {
  auto choice = make_choice({own_a, own_b});
  choice.on_sent(own_a.id, start);
  choice.on_unreachable(own_b.id, start);
  choice.set_peers({own_a, own_b});
  EXPECT_EQ(choice.in_flight(own_a.id), 1);
  EXPECT_EQ(choice.choose({{}, nullptr, 1}, start)->id, own_a.id);
  auto restarted = own_b;
  restarted.address.port = 7001;
  choice.set_peers({restarted});
  EXPECT_NE(choice.choose({}, start), nullptr);
  EXPECT_EQ(choice.in_flight(own_a.id), 0);
}

}  // namespace
