// A seeded random walk over a handful of node machines with plain queues between them.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "zinnia/steering/key_home.hpp"
#include "zinnia/steering/node_machine.hpp"
#include "zinnia/steering/share_gate.hpp"
#include "zinnia/steering/slot_ledger.hpp"

namespace zinnia::walks {

/// \brief A disturbance that a walk plays at a given time.
struct scripted_fault {
  enum class kind_type : unsigned char {
    store_down,
    store_cut,
    peers_cut,
    pause,
    crash,
    lose_vm,
    stop,
    edit
  };
  std::int64_t at_ms{0};
  kind_type kind{kind_type::store_down};
  /// Index of the node; 0 to 2 are in the near region, 3 and 4 in the far one.
  std::size_t node{0};
  std::int64_t for_ms{0};
};

/// \brief Which disturbances a walk may use; all by default.
struct walk_options {
  std::uint64_t seed{1};
  std::int64_t steps{900};
  bool store_faults{true};
  bool crashes{true};
  bool pauses{true};
  bool cuts{true};
  bool edits{true};
  bool stops{true};
  /// Prints every event, to understand a seed.
  bool trace{false};
  /// Played besides the random disturbances; times count from the start of the walk.
  std::vector<scripted_fault> script{};
};

/// \brief What a walk found and how much it did, so that a walk that did nothing is noticed.
struct walk_result {
  /// Empty when every invariant held.
  std::string violation;
  std::int64_t at_ms{0};
  std::int64_t dispatches{0};
  std::int64_t key_runs{0};
  std::int64_t shifted{0};
  std::int64_t takeovers{0};
  std::int64_t did_not_run_refusals{0};
  /// Holdings of the near region, and those whose holder lives and may dispatch when the walk ends.
  std::int64_t holdings{0};
  std::int64_t live_holdings{0};
  /// Live nodes, and those that have the newest settings in force when the walk ends.
  std::int64_t live_nodes{0};
  std::int64_t current_nodes{0};
  /// Dispatches of near nodes while the store was down.
  std::int64_t outage_dispatches{0};
};

/// \brief Runs one walk; the same options always give the same result.
[[nodiscard]] walk_result run_walk(const walk_options& options);

}  // namespace zinnia::walks
