// Tests where objects are loaded: homes that a region agrees on, shares between regions, copies that are paid
// for.
#include <gtest/gtest.h>

#include <map>
#include <numeric>

#include "zinnia/core/rendezvous.hpp"
#include "zinnia/routing/copy_ledger.hpp"
#include "zinnia/routing/lru_object_set.hpp"
#include "zinnia/routing/object_homes.hpp"
#include "zinnia/routing/region_shares.hpp"

using namespace zinnia;

namespace {

const region_id small{"small"};
const region_id middle{"middle"};
const region_id big{"big"};

TEST(region_shares, a_region_with_enough_slots_keeps_its_objects) {
  const auto weights = slot_weights({{small, {10, 1}}, {middle, {10, 1}}, {big, {10, 1}}}, small);
  const double all = 10 * (weights.at(small) + weights.at(middle) + weights.at(big));
  EXPECT_GT(10 * weights.at(small) / all, 0.99);
  EXPECT_GT(weights.at(big), 0) << "takes over if the region is lost";
}

/// Every region ends up with the same demand per slot, and only the small one sends objects elsewhere.
TEST(region_shares, no_region_is_busier_than_another) {
  const std::map<region_id, region_capacity> regions{{small, {8, 1}}, {middle, {42, 1}}, {big, {50, 1}}};
  std::map<region_id, double> demand;
  for (const auto& [from, capacity] : regions) {
    const auto weights = slot_weights(regions, from);
    double all = 0;
    for (const auto& [to, weight] : weights) {
      all += weight * regions.at(to).slots;
    }
    for (const auto& [to, weight] : weights) {
      demand[to] += weight * regions.at(to).slots / all;
    }
    const double kept = weights.at(from) * regions.at(from).slots / all;
    EXPECT_NEAR(kept, from == small ? 0.24 : 1, 0.01);
  }
  for (const auto& [id, region] : regions) {
    EXPECT_NEAR(demand[id] / region.slots, 3.0 / 100, 0.001) << id.str();
  }
}

TEST(region_shares, callers_of_a_region_without_slots_use_the_others) {
  const auto weights = slot_weights({{small, {0, 1}}, {big, {10, 1}}}, small);
  EXPECT_FALSE(weights.contains(small));
  EXPECT_GT(weights.at(big), 0);
  EXPECT_TRUE(slot_weights({}, small).empty());
  EXPECT_TRUE(slot_weights({{small, {0, 1}}}, small).empty());
}

[[nodiscard]] std::vector<home_candidate> make_candidates(int count) {
  std::vector<home_candidate> candidates;
  for (int i = 0; i < count; ++i) {
    candidates.push_back({stable_hash("server" + std::to_string(i)), 1, i % 2 == 0, false});
  }
  return candidates;
}

TEST(object_homes, differ_in_the_own_domain_only) {
  const auto here = make_candidates(20);
  auto there = here;
  for (auto& candidate : there) {
    candidate.is_in_own_domain = !candidate.is_in_own_domain;
  }
  for (std::uint64_t object = 1; object < 200; ++object) {
    const auto a = rank_homes(here, object, 3);
    const auto b = rank_homes(there, object, 3);
    ASSERT_EQ(a.shared.size(), 3U);
    EXPECT_EQ(a.shared, b.shared);
    EXPECT_TRUE(here[a.in_domain.value()].is_in_own_domain);
    EXPECT_TRUE(there[b.in_domain.value()].is_in_own_domain);
  }
}

TEST(object_homes, a_lost_server_moves_only_its_own_objects) {
  const auto all = make_candidates(20);
  auto fewer = all;
  fewer.pop_back();
  for (std::uint64_t object = 1; object < 500; ++object) {
    const auto before = rank_homes(all, object, 3).shared;
    const auto after = rank_homes(fewer, object, 3).shared;
    if (std::find(before.begin(), before.end(), 19U) == before.end()) {
      EXPECT_EQ(before, after);
    } else {
      EXPECT_NE(before, after);
    }
  }
}

TEST(object_homes, relief_is_a_server_of_another_region) {
  auto candidates = make_candidates(20);
  for (std::size_t i = 0; i < 10; ++i) {
    candidates[i].is_in_own_region = true;
  }
  for (std::uint64_t object = 1; object < 200; ++object) {
    const auto homes = rank_homes(candidates, object, 2);
    const bool is_shared = std::any_of(homes.shared.begin(), homes.shared.end(), [&](std::size_t index) {
      return !candidates[index].is_in_own_region;
    });
    ASSERT_TRUE(homes.relief || is_shared);
    if (homes.relief) {
      EXPECT_FALSE(candidates[*homes.relief].is_in_own_region);
      EXPECT_EQ(std::count(homes.shared.begin(), homes.shared.end(), *homes.relief), 0);
    }
  }
}

TEST(object_homes, follow_the_weights) {
  auto candidates = make_candidates(2);
  candidates[0].weight = 3;
  int first = 0;
  constexpr int objects = 4000;
  for (std::uint64_t object = 1; object <= objects; ++object) {
    first += rank_homes(candidates, stable_hash(std::to_string(object)), 1).shared.front() == 0 ? 1 : 0;
  }
  EXPECT_NEAR(static_cast<double>(first) / objects, 0.75, 0.03);
  EXPECT_TRUE(rank_homes({}, 1, 3).shared.empty());
  EXPECT_TRUE(rank_homes(candidates, 1, 0).shared.empty());
}

TEST(copy_ledger, makes_a_copy_once_requests_have_paid_for_it) {
  copy_ledger ledger;
  int requests = 1;
  while (!ledger.pay(7, 10, 100)) {
    ++requests;
    ASSERT_LT(requests, 100);
  }
  EXPECT_GT(requests, 10);
  EXPECT_FALSE(ledger.pay(7, 10, 100)) << "the account starts anew";
  EXPECT_TRUE(ledger.pay(8, 1'000, 100)) << "one request that costs more than the copy";
}

/// A change of the costs must not move all objects at once.
TEST(copy_ledger, objects_pay_different_prices) {
  std::map<int, int> objects_by_requests;
  for (int object = 0; object < 1'000; ++object) {
    copy_ledger ledger;
    int requests = 1;
    while (!ledger.pay(stable_hash(std::to_string(object)), 10, 100)) {
      ++requests;
    }
    ++objects_by_requests[requests];
  }
  EXPECT_GT(objects_by_requests.size(), 20U);
  for (const auto& [requests, objects] : objects_by_requests) {
    EXPECT_LT(objects, 100) << requests;
  }
}

TEST(lru_object_set, an_object_is_loaded_after_its_load_time) {
  lru_object_set objects;
  objects.start_loading(1, 10, time_point{500});
  EXPECT_TRUE(objects.contains(1));
  EXPECT_FALSE(objects.is_loaded(1, time_point{499}));
  EXPECT_TRUE(objects.is_loaded(1, time_point{500}));
  objects.start_loading(1, 10, time_point{900});
  EXPECT_TRUE(objects.is_loaded(1, time_point{500})) << "the earlier load counts";
  objects.start_loading(2, 10, time_point{900});
  objects.touch(2, 10);
  EXPECT_TRUE(objects.is_loaded(2, time_point{0})) << "a response proves that it is loaded";
  objects.start_loading(2, 10, time_point{900});
  EXPECT_TRUE(objects.is_loaded(2, time_point{0}));
}

TEST(lru_object_set, limits_notices) {
  lru_object_set objects;
  EXPECT_FALSE(objects.claim_notice(1, duration{100}, time_point{1'000})) << "an unknown object";
  objects.touch(1, 10);
  EXPECT_TRUE(objects.claim_notice(1, duration{100}, time_point{1'000}));
  EXPECT_FALSE(objects.claim_notice(1, duration{100}, time_point{1'099}));
  EXPECT_TRUE(objects.claim_notice(1, duration{100}, time_point{1'100}));
}

}  // namespace
