// Shares, leases, balance, placement, shifts, retries and the block table, each by small tables.
#include <gtest/gtest.h>

#include <set>

#include "zinnia/steering/balance.hpp"
#include "zinnia/steering/block_table.hpp"
#include "zinnia/steering/lease.hpp"
#include "zinnia/steering/overlay.hpp"
#include "zinnia/steering/placement.hpp"
#include "zinnia/steering/retry_budget.hpp"
#include "zinnia/steering/retry_rule.hpp"
#include "zinnia/steering/share_gate.hpp"
#include "zinnia/steering/shift_plan.hpp"

namespace zinnia {
namespace {

const share_key to_penang{region_id{"penang"}, service_id{"desk"}};

TEST(share_gate, admits_no_more_than_its_limit_and_nothing_after_the_term) {
  share_gate gate;
  gate.set_valid_until(time_point{100'000});
  gate.set_limit(to_penang, 3, {100, duration{1000}});
  for (int i = 0; i < 3; ++i) {
    EXPECT_TRUE(gate.try_enter(to_penang, time_point{1000}));
  }
  EXPECT_FALSE(gate.try_enter(to_penang, time_point{1000}));
  gate.leave(to_penang);
  EXPECT_FALSE(gate.try_enter(to_penang, time_point{100'000}));
  EXPECT_FALSE(gate.try_enter({region_id{"other"}, service_id{"desk"}}, time_point{1000}));
}

TEST(share_gate, cold_target_is_loaded_step_by_step_and_only_while_used) {
  share_gate gate;
  gate.set_valid_until(end_of_time);
  gate.set_limit(to_penang, 8, {25, duration{1000}});
  time_point now{1000};
  std::vector<std::int64_t> levels;
  for (int step = 0; step < 5; ++step) {
    while (gate.try_enter(to_penang, now)) {
    }
    levels.push_back(gate.in_flight(to_penang));
    now = now + duration{1000};
  }
  EXPECT_EQ(levels, (std::vector<std::int64_t>{2, 4, 6, 8, 8}));
  for (int i = 0; i < 8; ++i) {
    gate.leave(to_penang);
  }
  now = now + duration{60'000};
  EXPECT_EQ(gate.allowed(to_penang, now), 2);
}

TEST(share_gate, unused_level_does_not_rise) {
  share_gate gate;
  gate.set_valid_until(end_of_time);
  gate.set_limit(to_penang, 100, {10, duration{1000}});
  for (std::int64_t second = 1; second < 5; ++second) {
    EXPECT_TRUE(gate.try_enter(to_penang, time_point{second * 1000}));
    gate.leave(to_penang);
  }
  EXPECT_EQ(gate.allowed(to_penang, time_point{5000}), 10);
}

constexpr lease_terms terms{{500}, {4000}, {200}};

TEST(lease, counts_from_when_the_renewal_was_sent) {
  holder_lease lease{terms};
  lease.renewed(time_point{10'000});
  EXPECT_EQ(lease.valid_until(), time_point{13'800});
  lease.renewed(time_point{9'000});
  EXPECT_EQ(lease.valid_until(), time_point{13'800});
  lease.revoke();
  EXPECT_EQ(lease.valid_until(), time_point{});
}

/// Whatever was promised or renewed last, the holder stops before the heir may begin.
TEST(lease, holder_always_stops_before_its_heir_may_release) {
  for (std::int64_t promised = 0; promised <= 3000; promised += 250) {
    for (std::int64_t renewed = 0; renewed <= 3000; renewed += 250) {
      holder_lease holder{terms};
      heir_watch heir{terms, time_point{0}};
      holder.renewed(time_point{promised});
      heir.promise(time_point{promised});
      holder.renewed(time_point{renewed});
      heir.observe_renewal(time_point{renewed}, renewed);
      EXPECT_FALSE(heir.may_release(holder.valid_until()));
      EXPECT_TRUE(heir.may_release(time_point{std::max(promised, renewed) + 4200}));
    }
  }
}

TEST(lease, new_heir_waits_for_a_former_heirs_promise) {
  const heir_watch heir{terms, time_point{1000}};
  EXPECT_FALSE(heir.may_release(time_point{5199}));
  EXPECT_TRUE(heir.may_release(time_point{5200}));
}

[[nodiscard]] holdings_table table_of(const std::vector<std::string>& nodes) {
  holdings_table table;
  for (const auto& name : nodes) {
    table.nodes[node_id{name}].domain = failure_domain_id{name.substr(0, 1)};
  }
  return table;
}

[[nodiscard]] std::vector<holding_id> upstream_holdings(int count) {
  std::vector<holding_id> wanted;
  for (int i = 0; i < count; ++i) {
    wanted.push_back(slots_holding(service_id{"desk"}, upstream_id{"u:" + std::to_string(i)}));
  }
  return wanted;
}

TEST(balance, spreads_evenly_and_moves_little_when_a_node_joins) {
  auto table = table_of({"a1", "b1"});
  const auto wanted = upstream_holdings(12);
  for (const auto& [holding, node] : balance(table, wanted)) {
    table.assign(holding, node, false);
  }
  table.nodes[node_id{"a2"}];
  int moved = 0;
  std::map<node_id, int> count;
  for (const auto& [holding, node] : balance(table, wanted)) {
    moved += table.holdings.at(holding).holder == node ? 0 : 1;
    ++count[node];
  }
  EXPECT_EQ(moved, 4);
  EXPECT_EQ(count, (std::map<node_id, int>{{node_id{"a1"}, 4}, {node_id{"a2"}, 4}, {node_id{"b1"}, 4}}));
}

TEST(balance, gives_nothing_to_leaving_nodes) {
  auto table = table_of({"a1", "b1"});
  table.nodes[node_id{"b1"}].leaving = true;
  for (const auto& [holding, node] : balance(table, upstream_holdings(5))) {
    EXPECT_EQ(node, node_id{"a1"});
  }
}

TEST(holdings_table, survives_the_store) {
  auto table = table_of({"a1", "b1"});
  table.nodes[node_id{"a1"}].may_defer = true;
  table.assign(bucket_holding(3), node_id{"a1"}, true);
  table.holdings[bucket_holding(3)].blind_before_unix_ms = 77;
  table.shares[to_penang][node_id{"b1"}] = 5;
  const auto read = decode_holdings_table(encode(table));
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, table);
  EXPECT_FALSE(decode_holdings_table("{}"));
}

[[nodiscard]] placement_candidate candidate(const std::string& node, int free, int queued,
                                            std::int64_t distance) {
  placement_candidate made;
  made.node = node_id{node};
  made.region = region_id{distance > 1 ? "far" : "near"};
  made.load = {service_id{"desk"}, 12, free, queued, 20};
  made.distance = duration{distance};
  made.is_remote = distance > 1;
  return made;
}

struct placement_case {
  const char* name;
  std::int64_t latency_weight;
  std::int64_t headroom_weight;
  placement_candidate near;
  placement_candidate far;
  const char* expected;
};

TEST(placement, weighs_wait_against_distance_by_the_weights) {
  const std::vector<placement_case> table{
      {"near has room", 20, 2, candidate("near", 6, 0, 0), candidate("far", 12, 0, 55), "near"},
      {"short queue beats a long way", 20, 2, candidate("near", 0, 5, 0), candidate("far", 12, 0, 55),
       "near"},
      {"long queue does not", 20, 2, candidate("near", 0, 90, 0), candidate("far", 12, 0, 55), "far"},
      {"headroom goes away early", 5, 20, candidate("near", 2, 0, 0), candidate("far", 12, 0, 20), "far"},
      {"latency stays", 20, 2, candidate("near", 2, 0, 0), candidate("far", 12, 0, 20), "near"},
  };
  for (const auto& row : table) {
    const placement_policy policy{row.latency_weight, row.headroom_weight, {}, 1};
    EXPECT_EQ(rank({row.near, row.far}, policy).front().node.str(), row.expected) << row.name;
  }
}

TEST(placement, leaves_out_closed_shares_and_empty_pools) {
  auto closed = candidate("closed", 12, 0, 55);
  closed.share_open = false;
  auto empty = candidate("empty", 0, 0, 0);
  empty.load.slots_total = 0;
  EXPECT_TRUE(rank({closed, empty}, {}).empty());
}

TEST(placement, move_prefers_its_target) {
  placement_policy policy;
  policy.preferred = region_id{"far"};
  EXPECT_EQ(rank({candidate("near", 12, 0, 0), candidate("far", 1, 0, 55)}, policy).front().node,
            node_id{"far"});
}

struct retry_case {
  verdict outcome;
  bool idempotent;
  bool allowed;
};

TEST(retries, only_certain_failures_of_non_idempotent_requests) {
  const std::vector<retry_case> table{
      {verdict::did_not_run, false, true},   {verdict::did_not_run, true, true},
      {verdict::may_have_run, false, false}, {verdict::may_have_run, true, true},
      {verdict::ran, false, false},          {verdict::ran, true, false},
  };
  for (const auto& row : table) {
    EXPECT_EQ(may_retry(row.outcome, row.idempotent), row.allowed);
  }
}

TEST(retries, are_a_fraction_of_first_attempts) {
  retry_budget budget;
  int spent = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.on_first_attempt(10);
    spent += budget.try_spend() ? 1 : 0;
  }
  EXPECT_LE(spent, 110);
  EXPECT_GE(spent, 100);
}

[[nodiscard]] settings_tree shift_tree(const shift_intent& shift, int cap) {
  const std::string text =
      "settings: {ramp_step_percent: 25, ramp_interval_ms: 1000, typical_service_ms: 10}\n"
      "places: {near: {domains: {a: {}}}, far: {domains: {b: {}}}}\n"
      "services: {desk: {regions: {near: {domains: {a: {upstreams: ['u:1', 'u:2', 'u:3', 'u:4']}}},"
      " far: {domains: {b: {upstreams: ['v:1']}}}}}}\n"
      "links: [{from: near, to: far, delay_ms: 5, capacity: 50, caps: {desk: " +
      std::to_string(cap) + "}}]\n";
  auto tree = settings_tree::parse({"e", "t", text, {shift}}, "t");
  EXPECT_TRUE(tree) << tree.last_error().describe();
  return std::move(tree).value();
}

[[nodiscard]] int closed_count(const settings_tree& tree, std::int64_t at) {
  int closed = 0;
  for (const auto& upstream : tree.upstreams()) {
    closed += is_closed(tree, upstream, at) ? 1 : 0;
  }
  return closed;
}

TEST(shifts, region_drain_closes_step_by_step) {
  const auto tree = shift_tree({"d", shift_kind::drain_region, "near", {}, {}, 100, 10'000}, 24);
  EXPECT_EQ(closed_count(tree, 9'999), 0);
  EXPECT_EQ(closed_count(tree, 10'000), 1);
  EXPECT_EQ(closed_count(tree, 11'000), 2);
  EXPECT_EQ(closed_count(tree, 13'000), 4);
  EXPECT_EQ(closed_count(tree, 99'000), 4);
  EXPECT_EQ(progress_of(tree, 5'000)[0].waits_for, "start time");
  EXPECT_TRUE(progress_of(tree, 13'000)[0].complete);
}

TEST(shifts, region_drain_goes_no_further_than_the_caps_can_take_over) {
  const auto tree = shift_tree({"d", shift_kind::drain_region, "near", {}, {}, 100, 10'000}, 12);
  EXPECT_EQ(closed_count(tree, 99'000), 2);
  const auto progress = progress_of(tree, 99'000)[0];
  EXPECT_FALSE(progress.complete);
  EXPECT_EQ(progress.waits_for, "caps of desk out of near");
}

TEST(shifts, move_grows_to_its_percentage) {
  const auto tree =
      shift_tree({"m", shift_kind::move, "near", service_id{"desk"}, region_id{"far"}, 60, 10'000}, 12);
  const auto at = [&tree](std::int64_t now) {
    return moved_parts(tree, service_id{"desk"}, region_id{"near"}, now).front().percent;
  };
  EXPECT_EQ(at(9'000), 0);
  EXPECT_EQ(at(10'000), 25);
  EXPECT_EQ(at(12'000), 60);
}

TEST(block_table, finds_changes_and_gaps) {
  const auto table = block_table::build({{100, 199, 1}, {300, 399, 2}, {1U << 20U, (3U << 20U) - 1, 3}});
  EXPECT_EQ(table.find(100), 1);
  EXPECT_EQ(table.find(199), 1);
  EXPECT_FALSE(table.find(200).has_value());
  EXPECT_FALSE(table.find(99).has_value());
  EXPECT_EQ(table.find((2U << 20U) + 5), 3);
  const auto changed = table.with({300, 399, 9});
  EXPECT_EQ(changed.find(350), 9);
  EXPECT_EQ(table.find(350), 2);
  EXPECT_EQ(changed.with({500, 599, 4}).find(550), 4);
  EXPECT_EQ(changed.size(), table.size());
}

TEST(overlay, reaches_every_node_of_a_large_region_with_bounded_neighbours) {
  std::map<region_id, std::shared_ptr<const holdings_table>> tables;
  auto large = std::make_shared<holdings_table>();
  for (int i = 0; i < 192; ++i) {
    auto& node = large->nodes[node_id{"n" + std::to_string(i)}];
    node.domain = failure_domain_id{i % 2 == 0 ? "a" : "b"};
    node.heirs.insert(node_id{"n" + std::to_string((i + 1) % 192)});
  }
  const region_id here{"here"};
  tables[here] = large;
  std::set<node_id> reached{relay_order(*large, failure_domain_id{"a"}).front()};
  std::vector<node_id> open{reached.begin(), reached.end()};
  while (!open.empty()) {
    const auto from = open.back();
    open.pop_back();
    const auto neighbours = overlay_neighbours(tables, here, from);
    EXPECT_LE(neighbours.size(), relay_fan_out + 6);
    for (const auto& node : neighbours) {
      if (reached.insert(node).second) {
        open.push_back(node);
      }
    }
  }
  EXPECT_EQ(reached.size(), 192);
}

}  // namespace
}  // namespace zinnia
