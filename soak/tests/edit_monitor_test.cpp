// The edit monitor reports each way of not keeping to a confirmed edit, and nothing that is allowed.
#include "edit_monitor.hpp"

#include <gtest/gtest.h>

#include <chrono>

using namespace zinnia::soak;
using std::chrono::milliseconds;

namespace {

const soak_clock::time_point start{};
const incarnation process{"q0", 1};

struct edit_case {
  const char* name;
  handling forbidden;
  handling done;
  const char* target;
  int after_ms;
  bool is_in_touch;
  bool is_violation;
};

TEST(edit_monitor, reports_only_forbidden_handling_by_nodes_in_touch_after_the_time_limit) {
  using enum handling;
  for (const auto& each : std::vector<edit_case>{
           {"refused in time", route_refused, route_refused, "/x/", 2500, true, false},
           {"refused late", route_refused, route_refused, "/x/", 2501, true, true},
           {"refused late, out of touch", route_refused, route_refused, "/x/", 2501, false, false},
           {"another route refused", route_refused, route_refused, "/y/", 2501, true, false},
           {"served", route_refused, route_served, "/x/", 2501, true, false},
           {"dropped and served", route_served, route_served, "/x/", 2501, true, true},
           {"dropped and refused", route_served, route_refused, "/x/", 2501, true, false},
           {"drained in time", sent_to_server, sent_to_server, "b1-0", 2500, true, false},
           {"drained late", sent_to_server, sent_to_server, "b1-0", 2501, true, true},
           {"evacuated in time", sent_to_domain, sent_to_domain, "a", 5000, true, false},
           {"evacuated late", sent_to_domain, sent_to_domain, "a", 5001, true, true},
       }) {
    edit_monitor monitor{[&](const std::string&, soak_clock::time_point) { return each.is_in_touch; }};
    monitor.forbid(each.forbidden, each.target == std::string{"/y/"} ? "/x/" : each.target, start);
    monitor.on_handled(each.done, each.target, process, start + milliseconds{each.after_ms});
    EXPECT_EQ(monitor.check().size(), each.is_violation ? 1U : 0U) << each.name;
    monitor.allow(each.forbidden, each.target);
    monitor.on_handled(each.done, each.target, process, start + milliseconds{each.after_ms});
    EXPECT_EQ(monitor.check().size(), each.is_violation ? 1U : 0U) << each.name << ", allowed again";
  }
}

TEST(edit_monitor, reports_a_process_that_goes_back_even_out_of_touch_but_not_its_successor) {
  for (const bool is_same_process : {true, false}) {
    edit_monitor monitor{[](const std::string&, soak_clock::time_point) { return false; }};
    const auto now = soak_clock::now();
    monitor.forbid(handling::route_refused, "/x/", now);
    monitor.on_handled(handling::route_served, "/x/", process, now);
    const incarnation later{"q0", is_same_process ? 1 : 2};
    monitor.on_handled(handling::route_refused, "/x/", later, now + milliseconds{200});
    EXPECT_TRUE(monitor.check().empty());
    constexpr milliseconds well_after{60'000};
    monitor.on_handled(handling::route_refused, "/x/", later, now + well_after);
    EXPECT_EQ(monitor.check().size(), is_same_process ? 1U : 0U);
  }
}

}  // namespace
