// Cost of single decisions, by Google Benchmark. Usage: micro
#include <benchmark/benchmark.h>

#include "zinnia/steering/balance.hpp"
#include "zinnia/steering/placement.hpp"
#include "zinnia/steering/slot_ledger.hpp"

namespace {

using namespace zinnia;
const service_id desk{"desk"};

/// Chooses among so many holders: 9 are today's, 192 a region's at the size ahead.
void rank_candidates(benchmark::State& state) {
  std::vector<placement_candidate> candidates;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    placement_candidate one;
    one.node = node_id{"node-" + std::to_string(i)};
    one.region = region_id{"r" + std::to_string(i % 3)};
    one.load = {desk, 12, static_cast<std::int32_t>(i % 12), 0, 20};
    one.is_remote = i % 3 != 0;
    candidates.push_back(one);
  }
  std::uint64_t seed = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(rank(candidates, {20, 2, {}, ++seed}));
  }
}
BENCHMARK(rank_candidates)->Arg(3)->Arg(9)->Arg(48)->Arg(192);

/// Takes and gives back a slot at a holder of so many upstreams: 4 are today's, 2,000 all sites.
void take_a_slot(benchmark::State& state) {
  slot_ledger ledger;
  ledger.set_service(desk, {});
  ledger.set_valid_until(end_of_time);
  std::vector<held_upstream> held;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    held.push_back({upstream_id{"10.0.0." + std::to_string(i)}, desk, 3, epoch{1}, {}, false});
  }
  ledger.set_upstreams(held);
  for (auto _ : state) {
    const auto decision = ledger.request({1, desk, false, {20'000}, true, {}}, {10'000});
    benchmark::DoNotOptimize(ledger.release(std::get<slot_grant>(decision), duration{20}, {10'000}));
  }
}
BENCHMARK(take_a_slot)->Arg(4)->Arg(24)->Arg(250)->Arg(2000);

/// Works out who ought to hold what in a region of so many nodes and ten holdings a node.
void balance_a_region(benchmark::State& state) {
  holdings_table table;
  std::vector<holding_id> wanted;
  for (std::int64_t i = 0; i < state.range(0); ++i) {
    table.nodes[node_id{"node-" + std::to_string(i)}].domain = failure_domain_id{"d"};
  }
  for (std::int64_t i = 0; i < state.range(0) * 10; ++i) {
    wanted.push_back(slots_holding(desk, upstream_id{"u:" + std::to_string(i)}));
  }
  for (auto _ : state) {
    benchmark::DoNotOptimize(balance(table, wanted));
  }
}
BENCHMARK(balance_a_region)->Arg(3)->Arg(12)->Arg(48)->Unit(benchmark::kMicrosecond);

}  // namespace

BENCHMARK_MAIN();
