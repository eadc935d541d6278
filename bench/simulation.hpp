// A simulated clock's world of callers, entries and backend servers, driven by the product's own decisions.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "scenario.hpp"
#include "zinnia/routing/backend_table.hpp"

namespace zinnia::bench {

/// \brief How entries choose a server.
enum class policy : unsigned char { random, least_load, two_choices, one_home, ours, pooled };

[[nodiscard]] const char* to_word(policy which) noexcept;

/// \brief What callers got from one run.
struct outcome {
  double credit{0};
  double owed{0};
  int asked{0};
  int in_aim{0};
  int late{0};
  int refused{0};
  int failed{0};
  int runs{0};
  int warm_runs{0};
  /// Largest change of a region's share of where its requests run, from one 2 s window to the next.
  double largest_shift{0};
  /// Mean part of all slots that is free.
  double headroom{0};
  std::map<std::string, std::pair<double, double>> by_class;
  std::map<std::string, std::pair<double, double>> by_domain;
  std::vector<double> latencies_ms;

  [[nodiscard]] double share() const noexcept { return this->owed > 0 ? this->credit / this->owed : 0; }
  [[nodiscard]] double percentile(double part) const;
};

/// \brief   Part of the requests that run in another region than in the window before.
/// \details Requests by the region where they run; 0 if either window has too few to tell.
[[nodiscard]] double moved_part(const std::map<std::string, int>& before,
                                const std::map<std::string, int>& after);

/// \brief Plays a scenario once; the same seed gives the same run.
[[nodiscard]] outcome play(const scenario& what, policy which, std::uint64_t seed);

}  // namespace zinnia::bench
