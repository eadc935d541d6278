// Named faults, some two at once and some twice, played to the decision machines without any other
// disturbance. Each row guards the invariants that every walk checks, and says what must hold when the faults
// are over.
#include <gtest/gtest.h>

#include "walk.hpp"

namespace zinnia::walks {
namespace {

using kind = scripted_fault::kind_type;

struct fault_case {
  const char* name;
  /// The promise of the brief that is most at risk.
  const char* invariant;
  std::vector<scripted_fault> script;
  /// Whether work must go on in the region while the store is down.
  bool serves_in_outage{false};
};

class faults : public testing::TestWithParam<fault_case> {};

TEST_P(faults, keep_the_invariant_and_heal) {
  walk_options options;
  options.seed = 5;
  options.steps = 1200;
  options.store_faults = options.crashes = options.pauses = options.cuts = options.edits = options.stops =
      false;
  options.script = GetParam().script;
  const auto found = run_walk(options);
  EXPECT_EQ(found.violation, "") << GetParam().invariant << ", at " << found.at_ms << " ms";
  EXPECT_EQ(found.holdings, 6);
  EXPECT_EQ(found.live_holdings, found.holdings);
  EXPECT_EQ(found.current_nodes, found.live_nodes);
  if (GetParam().serves_in_outage) {
    EXPECT_GT(found.outage_dispatches, 100);
  }
}

const char* const capacity = "no region past its capacity";
const char* const at_most_once = "a non-idempotent request runs at most once";
const char* const caps = "a shift never exceeds its cap";
const char* const in_force = "accepted settings take effect everywhere and never revert";

INSTANTIATE_TEST_SUITE_P(
    table, faults,
    testing::Values(
        fault_case{"store_down_for_long", capacity, {{2000, kind::store_down, 0, 8000}}, true},
        fault_case{"store_down_twice",
                   capacity,
                   {{2000, kind::store_down, 0, 2000}, {5000, kind::store_down, 0, 3000}},
                   true},
        fault_case{"holder_paused_past_its_term", at_most_once, {{3000, kind::pause, 1, 1500}}},
        fault_case{"holder_paused_twice",
                   at_most_once,
                   {{3000, kind::pause, 1, 1000}, {4200, kind::pause, 1, 1000}}},
        fault_case{"holder_cut_off_from_the_store_alone", capacity, {{3000, kind::store_cut, 1, 3000}}},
        fault_case{"holder_cut_off_from_its_peers_alone", capacity, {{3000, kind::peers_cut, 1, 3000}}},
        fault_case{"holder_cut_off_from_everyone",
                   at_most_once,
                   {{3000, kind::peers_cut, 1, 3000}, {3000, kind::store_cut, 1, 3000}}},
        fault_case{"heir_dead", capacity, {{3000, kind::crash, 0, 0}}},
        fault_case{"holder_and_heir_dead_and_off_the_list",
                   at_most_once,
                   {{3000, kind::lose_vm, 0, 0}, {3050, kind::lose_vm, 1, 0}}},
        fault_case{"holder_and_heir_restart_together",
                   at_most_once,
                   {{3000, kind::crash, 0, 400}, {3000, kind::crash, 1, 600}}},
        fault_case{"all_nodes_restart",
                   at_most_once,
                   {{3000, kind::crash, 0, 300}, {3000, kind::crash, 1, 500}, {3000, kind::crash, 2, 700}}},
        fault_case{"node_restarts_while_the_store_is_down",
                   in_force,
                   {{3000, kind::store_down, 0, 3000}, {3500, kind::crash, 2, 300}},
                   true},
        fault_case{"holder_dies_while_the_store_is_down",
                   capacity,
                   {{3000, kind::store_down, 0, 3000}, {3500, kind::crash, 1, 0}},
                   true},
        fault_case{"holder_pauses_while_the_store_is_down",
                   at_most_once,
                   {{3000, kind::store_down, 0, 3000}, {3500, kind::pause, 1, 1200}},
                   true},
        fault_case{
            "region_cut_off",
            caps,
            {{3000, kind::peers_cut, 3, 3000}, {3000, kind::peers_cut, 4, 3000}, {4100, kind::edit, 0, 0}}},
        fault_case{"settings_change_while_a_node_is_paused",
                   in_force,
                   {{4100, kind::pause, 2, 1500}, {4200, kind::edit, 0, 0}}},
        fault_case{"settings_change_while_a_node_is_cut_off_from_the_store",
                   in_force,
                   {{4100, kind::store_cut, 2, 2000}, {4200, kind::edit, 0, 0}}},
        fault_case{"node_leaves_under_load", capacity, {{3000, kind::stop, 1, 0}}},
        fault_case{"two_nodes_leave_at_once", capacity, {{3000, kind::stop, 0, 0}, {3000, kind::stop, 1, 0}}},
        fault_case{"node_leaves_while_its_heir_dies",
                   at_most_once,
                   {{3000, kind::stop, 1, 0}, {3050, kind::crash, 0, 0}}}),
    [](const auto& info) { return std::string{info.param.name}; });

}  // namespace
}  // namespace zinnia::walks
