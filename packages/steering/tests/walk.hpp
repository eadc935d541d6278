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
};

/// \brief Runs one walk; the same options always give the same result.
[[nodiscard]] walk_result run_walk(const walk_options& options);

}  // namespace zinnia::walks
