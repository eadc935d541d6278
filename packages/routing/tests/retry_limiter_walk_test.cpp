// Random walks over several nodes that share a retry budget, each with a limiter of its own: servers fail in
// bursts, nodes are killed and start again, callers move, traffic changes, and links hold retries back.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <numeric>
#include <random>
#include <vector>

#include "zinnia/routing/retry_limiter.hpp"

using namespace zinnia;

namespace {

constexpr duration step{20};
constexpr duration longest_hold{4'000};
constexpr duration expiry{15'000};
constexpr int max_attempts = 4;

struct walk_options {
  std::size_t nodes{36};
  double requests_per_s{1'147};
  retry_budget_settings budget{0.2, 218, duration{10'000}};
  bool kills{false};
  bool moves{false};
  bool holds{false};
};

class retry_walk {
 public:
  retry_walk(const walk_options& options_in, std::uint64_t seed)
      : options{options_in}, random{seed}, nodes(options_in.nodes), groups(2 * options_in.nodes) {
    for (std::size_t i = 0; i < this->groups.size(); ++i) {
      this->groups[i] = i % this->nodes.size();
    }
  }

  void run(duration length) {
    const auto steps = static_cast<std::size_t>(length.ms / step.ms);
    this->requests.assign(steps, 0);
    this->retries.assign(steps, 0);
    for (this->index = 0; this->index < steps; ++this->index) {
      this->now = time_point{static_cast<std::int64_t>(this->index) * step.ms};
      this->change_load();
      this->disturb_nodes();
      this->send_requests();
    }
  }

  /// Returns the largest ratio of retries to those allowed, over all windows.
  [[nodiscard]] double worst_window() const {
    const auto& budget = this->options.budget;
    const auto length = static_cast<std::size_t>(budget.window.ms / step.ms);
    const auto sum = [length](const std::vector<int>& counts, std::size_t from) {
      return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(from),
                             counts.begin() + static_cast<std::ptrdiff_t>(from + length), 0);
    };
    double worst = 0;
    for (std::size_t from = length; from + length < this->requests.size(); from += 5) {
      const int most = std::max({sum(this->requests, from), sum(this->requests, from - length),
                                 sum(this->requests, from - length / 2)});
      worst = std::max(worst, sum(this->retries, from) / (budget.ratio * most + budget.extra_per_window));
    }
    return worst;
  }

  int retry_count{0};

 private:
  struct node {
    retry_limiter limiter;
    time_point up_from{};
    time_point down_since{};
    time_point held_until{};
  };

  [[nodiscard]] bool one_in(std::uint64_t many) { return this->random() % many == 0; }
  [[nodiscard]] std::int64_t up_to(std::int64_t most) {
    return static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(most));
  }

  void change_load() {
    if (this->now >= this->load_changes_at) {
      static constexpr double loads[] = {1, 1, 1, 1.7, 0.3, 0.05};
      this->load = loads[this->random() % std::size(loads)];
      this->load_changes_at = this->now + duration{2'000 + this->up_to(8'000)};
    }
    if (this->now >= this->failing_changes_at) {
      this->failing_percent = this->failing_percent > 0 ? 0 : 30 + this->up_to(71);
      this->failing_changes_at = this->now + duration{500 + this->up_to(8'000)};
    }
  }

  void disturb_nodes() {
    constexpr std::uint64_t steps_between = 100;
    if (this->options.kills && this->now >= this->kills_at) {
      this->kills_at = this->now + duration{1'000 + this->up_to(this->one_in(3) ? 10'000 : 1'500)};
      const auto percent = this->one_in(3) ? this->up_to(100) : 100;
      for (auto& each : this->nodes) {
        if (this->up_to(100) < percent) {
          each.down_since = this->now;
          each.up_from = this->now + duration{300 + this->up_to(1'000)};
          each.limiter = retry_limiter{each.up_from};
        }
      }
    }
    if (this->options.moves && this->one_in(steps_between)) {
      const auto target = this->random() % this->nodes.size();
      const auto percent = this->up_to(100);
      for (auto& group : this->groups) {
        group = this->up_to(100) < percent ? target : group;
      }
    }
    if (this->options.holds && this->one_in(2 * steps_between)) {
      const auto until = this->now + duration{this->up_to(longest_hold.ms)};
      for (auto& each : this->nodes) {
        each.held_until = this->one_in(3) ? until : each.held_until;
      }
    }
  }

  void send_requests() {
    constexpr double ms_per_second = 1'000;
    const double mean =
        this->options.requests_per_s * this->load * static_cast<double>(step.ms) / ms_per_second;
    const int count = std::poisson_distribution<int>{mean}(this->random);
    const auto registered =
        static_cast<int>(std::count_if(this->nodes.begin(), this->nodes.end(), [this](const node& each) {
          return each.up_from <= this->now || this->now - each.down_since < expiry;
        }));
    for (int i = 0; i < count; ++i) {
      ++this->requests[this->index];
      auto& group = this->groups[this->random() % this->groups.size()];
      if (this->nodes[group].up_from > this->now) {
        group = this->random() % this->nodes.size();
        continue;
      }
      auto& node = this->nodes[group];
      node.limiter.on_request(this->options.budget, this->now);
      for (int attempt = 1; attempt < max_attempts && this->up_to(100) < this->failing_percent; ++attempt) {
        if (!node.limiter.try_consume(this->options.budget, registered, this->now)) {
          break;
        }
        ++this->retry_count;
        const auto arrival = static_cast<std::size_t>(std::max(this->now, node.held_until).ms / step.ms);
        if (arrival < this->retries.size()) {
          ++this->retries[arrival];
        }
      }
    }
  }

  walk_options options;
  std::mt19937_64 random;
  std::vector<node> nodes;
  // The node that each group of callers uses.
  std::vector<std::size_t> groups;
  time_point now{};
  std::size_t index{0};
  double load{1};
  time_point load_changes_at{};
  std::int64_t failing_percent{0};
  time_point failing_changes_at{};
  time_point kills_at{};
  // First attempts and retries by step, as they reach the servers.
  std::vector<int> requests;
  std::vector<int> retries;
};

constexpr std::uint64_t seeds = 20;

/// Returns the worst window of all walks with these options.
[[nodiscard]] double worst_of_walks(const walk_options& options) {
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    retry_walk walked{options, seed};
    walked.run(duration{90'000});
    EXPECT_GT(walked.retry_count, 0) << "seed " << seed;
    worst = std::max(worst, walked.worst_window());
  }
  return worst;
}

TEST(retry_limiter_walk, nodes_that_are_killed_again_and_again_do_not_exceed_the_budget) {
  for (const double requests_per_s : {1'147.0, 244.0, 60.0, 5.0}) {
    walk_options options;
    options.requests_per_s = requests_per_s;
    options.kills = true;
    EXPECT_LE(worst_of_walks(options), 1) << requests_per_s << " requests a second";
  }
}

TEST(retry_limiter_walk, callers_that_move_between_nodes_do_not_earn_the_budget_twice) {
  for (const double requests_per_s : {5'000.0, 1'147.0, 244.0}) {
    walk_options options;
    options.requests_per_s = requests_per_s;
    options.moves = true;
    EXPECT_LE(worst_of_walks(options), 1) << requests_per_s << " requests a second";
  }
}

TEST(retry_limiter_walk, retries_that_links_hold_back_do_not_exceed_the_budget_with_those_sent_later) {
  for (const double requests_per_s : {1'147.0, 244.0, 60.0}) {
    walk_options options;
    options.requests_per_s = requests_per_s;
    options.holds = true;
    EXPECT_LE(worst_of_walks(options), 1) << requests_per_s << " requests a second";
    options.kills = true;
    options.moves = true;
    EXPECT_LE(worst_of_walks(options), 1) << requests_per_s << " requests a second, with all faults";
  }
}

/// Every node uses all that it may just before all processes end, and again from then on.
TEST(retry_limiter_walk, a_burst_before_all_nodes_start_again_leaves_room_for_the_retries_that_follow) {
  const retry_budget_settings budget{0.2, 218, duration{10'000}};
  constexpr std::size_t nodes = 36;
  constexpr int requests_per_step = 12;
  constexpr duration length{40'000};
  for (const duration life : {duration{1'000}, duration{3'000}, duration{9'000}, duration{40'000}}) {
    const time_point burst{12'000};
    std::vector<retry_limiter> limiters(nodes);
    time_point started{};
    std::vector<int> retries(static_cast<std::size_t>(length.ms / 10));
    std::size_t next = 0;
    for (time_point now{}; now < time_point{} + length; now = now + duration{10}) {
      if (now == burst || (now > burst && now - started >= life)) {
        started = now;
        limiters.assign(nodes, retry_limiter{now});
      }
      for (int i = 0; i < requests_per_step; ++i) {
        limiters[next++ % nodes].on_request(budget, now);
      }
      for (auto& limiter : limiters) {
        while (now + duration{100} >= burst && limiter.try_consume(budget, nodes, now)) {
          ++retries[static_cast<std::size_t>(now.ms / 10)];
        }
      }
    }
    const auto window = static_cast<std::ptrdiff_t>(budget.window.ms / 10);
    const double allowed =
        budget.ratio * static_cast<double>(window) * requests_per_step + budget.extra_per_window;
    for (auto from = retries.begin(); retries.end() - from >= window; ++from) {
      ASSERT_LE(std::accumulate(from, from + window, 0), allowed)
          << "from " << (from - retries.begin()) * 10 << " ms, a start each " << life.ms << " ms";
    }
  }
}

}  // namespace
