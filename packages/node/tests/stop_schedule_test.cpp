// Checks the times of a graceful stop for short and long limits.
#include "stop_schedule.hpp"

#include <gtest/gtest.h>

using namespace zinnia;

namespace {

constexpr time_point began{100'000};

TEST(stop_schedule, answers_within_the_last_sixth_and_stops_reading_before_whatever_the_limit) {
  for (const std::int64_t limit_ms : {500, 1000, 2000, 3000, 3300, 4000, 5400, 6000, 10'000, 60'000}) {
    const stop_schedule stop{began, duration{limit_ms}};
    const auto killed = began + duration{limit_ms};
    EXPECT_GT(stop.answer_by(), killed - duration{limit_ms / 6}) << limit_ms;
    EXPECT_LT(stop.answer_by(), stop.end_by()) << limit_ms;
    EXPECT_LT(stop.end_by(), killed) << limit_ms;
    EXPECT_LT(stop.read_at_least_until(), stop.answer_by()) << limit_ms;
    for (const std::int64_t timeout_ms : {0, 100, 1500, 6000, 3'600'000}) {
      const auto until = stop.read_until(duration{timeout_ms});
      EXPECT_GE(until, stop.read_at_least_until()) << limit_ms << ' ' << timeout_ms;
      EXPECT_LE(until, stop.answer_by()) << limit_ms << ' ' << timeout_ms;
    }
  }
}

TEST(stop_schedule, leaves_the_longest_timeout_for_requests_where_the_limit_allows) {
  const stop_schedule stop{began, duration{10'000}};
  EXPECT_EQ(stop.answer_by() - stop.read_until(duration{4000}), duration{4000});
  EXPECT_EQ(stop.read_until(duration{9000}), stop.read_at_least_until());
}

}  // namespace
