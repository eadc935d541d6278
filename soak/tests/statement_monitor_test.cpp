// Each check of the statement monitor reports its violation, and none reports one for a correct run.
#include "statement_monitor.hpp"

#include <gtest/gtest.h>

#include <functional>

using namespace zinnia::soak;
using std::chrono::milliseconds;

namespace {

const soak_clock::time_point start{};

struct monitor_case {
  const char* name;
  own_statement statement;
  /// Requests of one node: the first at 0 ms, then one in each interval from `from_ms` until `until_ms`.
  int from_ms;
  int until_ms;
  int interval_ms;
  bool is_violation;
};

TEST(statement_monitor, reports_every_kind_of_violation_and_nothing_else) {
  for (const auto& each : std::vector<monitor_case>{
           {"limit exceeded", {.rate_limit = 2}, 3000, 8000, 100, true},
           {"limit kept", {.rate_limit = 2}, 3000, 8000, 500, false},
           {"not yet judged", {.rate_limit = 2}, 0, 2900, 100, false},
           {"leaving", {.is_leaving = true}, 3800, 3900, 100, true},
           {"leaving, in time", {.is_leaving = true}, 0, 3600, 100, false},
           {"busy", {.busy_s = 2}, 600, 1900, 400, true},
           {"busy, two requests", {.busy_s = 2}, 600, 1400, 400, false},
           {"busy, afterwards", {.busy_s = 2}, 2000, 4000, 400, false},
           {"says nothing", {}, 0, 8000, 10, false},
       }) {
    for (const bool is_calm : {true, false}) {
      statement_monitor monitor;
      monitor.begin(
          each.statement, [is_calm](const std::string&, soak_clock::time_point) { return is_calm; }, start);
      monitor.on_request("q0", start);
      monitor.on_response("q0", start);
      for (int at = each.from_ms; at < each.until_ms; at += each.interval_ms) {
        monitor.on_request("q0", start + milliseconds{at});
      }
      EXPECT_EQ(monitor.check().size(), is_calm && each.is_violation ? 1U : 0U) << each.name;
    }
  }
}

}  // namespace
