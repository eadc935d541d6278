// Parts of a server's rate limit: their sum, and what nodes that use them send together.
#include "zinnia/routing/rate_limit_share.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

#include "zinnia/routing/backend_state.hpp"

using namespace zinnia;

namespace {

constexpr time_point start{1'000'000};

[[nodiscard]] std::vector<node_standing> standings(std::size_t node_count, std::size_t near_count) {
  std::mt19937_64 random{node_count};
  std::vector<node_standing> all;
  for (std::size_t rank = 0; rank < node_count; ++rank) {
    all.push_back({rank, near_count, node_count, random()});
  }
  return all;
}

TEST(rate_limit_share, parts_of_all_nodes_add_up_to_the_limit_at_most) {
  for (const double limit : {0.1, 0.7, 2.4, 5.4, 30.0, 1000.0}) {
    for (const std::size_t count : {1U, 2U, 9U, 195U, 6900U}) {
      for (const std::size_t near : {std::size_t{0}, std::size_t{1}, count / 2, count}) {
        double sum = 0;
        for (const auto& standing : standings(count, near)) {
          const double share = share_of_rate(limit, standing);
          EXPECT_GT(share, 0);
          sum += share;
        }
        EXPECT_LE(sum, limit * 1.0001) << limit << ' ' << count << ' ' << near;
        EXPECT_TRUE(near == 0 || sum >= 0.85 * limit) << limit << ' ' << count << ' ' << near;
      }
    }
  }
}

struct walk_case {
  const char* name;
  double limit;
  std::size_t node_count;
  std::size_t near_count;
  /// Nodes have requests all the time, or only now and then, all at once.
  bool always_busy;
};

/// All nodes hear of the limit at the same moment, and each sends whenever it may. Every 4 s window allows
/// one and a half times the limit, and 5 requests.
TEST(rate_limit_share, nodes_together_keep_to_the_limit_in_every_window) {
  constexpr duration step{50};
  constexpr duration window{4000};
  constexpr duration length{600'000};
  for (const auto& [name, limit, node_count, near_count, always_busy] : std::vector<walk_case>{
           {"one node", 3.3, 1, 1, true},
           {"two regions", 5.4, 6, 3, true},
           {"two regions, bursts", 5.4, 6, 3, false},
           {"low limit", 0.3, 9, 3, true},
           {"nothing at all", 0, 9, 3, true},
           {"no serving node in the server's region", 6.7, 9, 0, true},
           {"large, one region", 5.4, 195, 195, true},
           {"large, bursts", 5.4, 195, 40, false},
           {"high limit", 200, 195, 40, true},
       }) {
    std::vector<rate_limit_share> nodes(node_count);
    const auto where = standings(node_count, near_count);
    for (std::size_t i = 0; i < node_count; ++i) {
      nodes[i].set_standing(where[i], start);
      nodes[i].on_limit(limit, start);
    }
    std::vector<time_point> sends;
    for (auto now = start; now < start + length; now = now + step) {
      const bool busy = always_busy || (now - start).ms % 60'000 < 2000;
      for (auto& node : nodes) {
        if (busy && node.permits(now)) {
          node.on_sent(now);
          node.on_limit(limit, now);
          sends.push_back(now);
        }
      }
    }
    const double allowed = 1.5 * std::max(limit, 0.1) * 4 + 5;
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < sends.size(); ++last) {
      while (sends[last] - sends[first] >= window) {
        ++first;
      }
      most = std::max(most, last - first + 1);
    }
    EXPECT_LE(static_cast<double>(most), allowed) << name;
    const double used = static_cast<double>(sends.size()) / (std::max(limit, 0.1) * 600);
    EXPECT_TRUE(!always_busy || near_count == 0 || used > 0.8) << name << ": " << used;
    EXPECT_FALSE(sends.empty()) << name << ": nobody would notice the end of the limit";
  }
}

TEST(rate_limit_share, says_when_the_next_request_may_be_sent) {
  rate_limit_share share;
  EXPECT_TRUE(share.permits(start)) << "no limit";
  share.set_standing({0, 1, 1, 0}, start);
  share.on_limit(2, start);
  EXPECT_FALSE(share.permits(start)) << "many nodes hear of a limit at once";
  const auto next = share.next_send_at(start);
  EXPECT_NEAR(static_cast<double>((next - start).ms), 556, 1) << "0.9 of 2 a second";
  EXPECT_FALSE(share.permits(next - duration{2}));
  EXPECT_TRUE(share.permits(next));
  share.on_sent(next);
  EXPECT_FALSE(share.permits(next));
}

/// Responses on different connections can overtake each other, so one that was written before the server
/// named its limit may arrive later.
TEST(rate_limit_share, a_limit_ends_with_a_later_response_that_names_none) {
  rate_limit_share share;
  share.on_limit(2, start);
  share.on_no_limit(start + duration{10});
  EXPECT_EQ(share.limit(), 2.0);
  share.on_no_limit(start + duration{1000});
  EXPECT_FALSE(share.limit());
  EXPECT_TRUE(share.permits(start + duration{1000}));
}

TEST(rate_limit_share, a_server_that_starts_again_has_no_limit_and_an_unreadable_one_ends_none) {
  backend_declaration declaration;
  declaration.id = backend_id{"a"};
  declaration.started_unix_ms = 1;
  backend_state backend{declaration};
  backend_statement statement;
  statement.rate_limit = 2;
  backend.on_statement(statement, start);
  statement = {};
  backend.on_statement(statement, start + duration{5000});
  EXPECT_EQ(backend.rate_limit(), 2.0);
  declaration.started_unix_ms = 2;
  backend.update_declaration(declaration);
  EXPECT_FALSE(backend.rate_limit());
}

}  // namespace
