// The soak test would pass with a broken system if the history missed a violation, so each check is shown to
// report its violation and none reports one for a correct run.
#include "request_history.hpp"

#include <gtest/gtest.h>

#include <functional>

using namespace zinnia::soak;

namespace {

const sent_request repeatable_request{"q1", "GET", "/r0/1", "", true};
const sent_request single_run_request{"q2", "POST", "/r1/1", "body", false};

[[nodiscard]] request_result completed_result(const std::string& id, const std::string& stamp) {
  request_result result;
  result.status = 200;
  result.stamp = stamp;
  result.body = expected_body(id);
  return result;
}

/// Sends a request in two parts and loses the connection.
void lose_half_sent_request(request_history& history, int took_ms, int stalled_ms) {
  auto request = single_run_request;
  request.pause_ms = took_ms;
  history.on_request_sent(request);
  request_result result;
  result.connection_lost = true;
  result.was_fault_free = true;
  result.took_ms = took_ms;
  result.stalled_ms = stalled_ms;
  history.on_request_finished(request.id, result);
}

[[nodiscard]] request_result refused_result() {
  request_result result;
  result.status = 503;
  return result;
}

struct violation_case {
  const char* expected_text;
  std::function<void(request_history&)> run;
};

TEST(request_history, reports_every_kind_of_violation) {
  const std::vector<violation_case> violation_cases{
      {"nobody sent",
       [](request_history& history) { static_cast<void>(history.on_execution(repeatable_request, "b")); }},
      {"was changed",
       [](request_history& history) {
         history.on_request_sent(single_run_request);
         static_cast<void>(history.on_execution({"q2", "POST", "/r1/1", "other", false}, "b"));
       }},
      {"ran 2 times",
       [](request_history& history) {
         history.on_request_sent(single_run_request);
         static_cast<void>(history.on_execution(single_run_request, "b"));
         static_cast<void>(history.on_execution(single_run_request, "c"));
       }},
      {"was refused with 503 and ran",
       [](request_history& history) {
         history.on_request_sent(repeatable_request);
         history.on_request_finished("q1", refused_result());
         static_cast<void>(history.on_execution(repeatable_request, "b"));
       }},
      {"answer of another",
       [](request_history& history) {
         history.on_request_sent(repeatable_request);
         history.on_request_sent(single_run_request);
         const auto stamp = history.on_execution(single_run_request, "b");
         history.on_request_finished("q1", completed_result("q1", stamp));
       }},
      {"not the server's",
       [](request_history& history) {
         history.on_request_sent(repeatable_request);
         auto result = completed_result("q1", history.on_execution(repeatable_request, "b"));
         result.body.pop_back();
         history.on_request_finished("q1", result);
       }},
      {"cut off at n1",
       [](request_history& history) {
         history.on_request_sent(repeatable_request);
         static_cast<void>(history.on_execution(repeatable_request, "b"));
         request_result result;
         result.connection_lost = true;
         result.was_fault_free = true;
         result.node = "n1";
         history.on_request_finished("q1", result);
       }},
      {"was half sent for 400 ms",
       [](request_history& history) { lose_half_sent_request(history, 400, 50); }},
  };
  for (const auto& violation : violation_cases) {
    request_history history;
    violation.run(history);
    const auto violations = history.check_at_end();
    ASSERT_FALSE(violations.empty()) << violation.expected_text;
    EXPECT_NE(violations.front().find(violation.expected_text), std::string::npos) << violations.front();
  }
}

TEST(request_history, does_not_blame_a_node_for_what_a_stalled_proxy_held) {
  request_history history;
  lose_half_sent_request(history, 400, 150);
  EXPECT_TRUE(history.check_at_end().empty());
}

TEST(request_history, reports_no_violation_when_all_guarantees_hold) {
  request_history history;
  history.on_request_sent(repeatable_request);
  static_cast<void>(history.on_execution(repeatable_request, "b"));
  history.on_request_finished("q1", completed_result("q1", history.on_execution(repeatable_request, "c")));
  history.on_request_sent(single_run_request);
  history.on_request_finished("q2", refused_result());
  EXPECT_TRUE(history.check_at_end().empty());
  EXPECT_EQ(history.summary(), "2 requests, 200: 1, 503: 1");
}

}  // namespace
