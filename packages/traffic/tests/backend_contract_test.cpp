// The contract with backend servers: which endings say "did not run", and which may have run.
#include <gtest/gtest.h>

#include "standins/raw_server.hpp"
#include "zinnia/traffic/backend_client.hpp"

namespace zinnia {
namespace {

using standins::raw_script;
using standins::raw_server;

const std::string whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

[[nodiscard]] backend_request request_to(std::uint16_t port, const std::string& method) {
  backend_request request;
  request.upstream = upstream_id{"127.0.0.1:" + std::to_string(port)};
  request.method = method;
  request.path = "/x";
  request.body = method == "GET" ? "" : "body";
  request.limit = duration{2000};
  request.idempotent = method == "GET";
  request.answer_limit_bytes = 1 << 20;
  return request;
}

[[nodiscard]] bool never() {
  return false;
}

struct ending {
  const char* name;
  raw_script script;
  int limit_ms;
  verdict outcome;
  reason why;
};

class backend_endings : public testing::TestWithParam<ending> {};

TEST_P(backend_endings, have_their_verdict) {
  raw_server server{[](int) { return GetParam().script; }};
  backend_client client;
  auto request = request_to(server.port(), "POST");
  request.limit = duration{GetParam().limit_ms};
  const auto answer = client.send(request, never);
  EXPECT_EQ(answer.outcome, GetParam().outcome);
  EXPECT_EQ(answer.why, GetParam().why);
  EXPECT_EQ(server.requests(), 1);
}

INSTANTIATE_TEST_SUITE_P(
    table, backend_endings,
    testing::Values(
        ending{"whole_answer", {whole_answer}, 2000, verdict::ran, reason::none},
        ending{"late_answer", {whole_answer, false, 100}, 2000, verdict::ran, reason::none},
        ending{"too_late_answer",
               {whole_answer, false, 400},
               100,
               verdict::may_have_run,
               reason::backend_timeout},
        ending{
            "closed_before_first_byte", {""}, 2000, verdict::may_have_run, reason::reset_before_first_byte},
        ending{"reset_before_first_byte",
               {"", false, 0, true},
               2000,
               verdict::may_have_run,
               reason::reset_before_first_byte},
        ending{"closed_mid_answer",
               {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"},
               2000,
               verdict::may_have_run,
               reason::reset_mid_answer},
        ending{"garbage", {"garbage\r\n\r\n"}, 2000, verdict::may_have_run, reason::reset_before_first_byte},
        ending{"shed",
               {"HTTP/1.1 503 No\r\nX-Verdict: did-not-run\r\nX-Reason: shed\r\nContent-Length: 0\r\n\r\n"},
               2000,
               verdict::did_not_run,
               reason::backend_shed},
        ending{"refused",
               {"HTTP/1.1 503 No\r\nX-Verdict: did-not-run\r\nContent-Length: 0\r\n\r\n"},
               2000,
               verdict::did_not_run,
               reason::backend_refused},
        ending{"failure_without_a_word",
               {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"},
               2000,
               verdict::may_have_run,
               reason::backend_error}),
    [](const auto& info) { return std::string{info.param.name}; });

TEST(backend, nobody_listening_did_not_run) {
  std::uint16_t port = 0;
  {
    const raw_server server{[](int) { return raw_script{}; }};
    port = server.port();
  }
  backend_client client;
  const auto answer = client.send(request_to(port, "POST"), never);
  EXPECT_EQ(answer.outcome, verdict::did_not_run);
  EXPECT_EQ(answer.why, reason::connect_failed);
}

/// A kept connection that dies after the request was read must not be hidden by a silent repeat.
TEST(backend, request_lost_on_a_kept_connection_is_not_repeated) {
  for (const std::string body : {"body", ""}) {
    raw_server server{[](int number) {
      return number == 0 ? raw_script{whole_answer, true} : raw_script{"", false, 0, true};
    }};
    backend_client client;
    auto request = request_to(server.port(), "POST");
    request.body = body;
    EXPECT_EQ(client.send(request, never).outcome, verdict::ran);
    const auto second = client.send(request, never);
    EXPECT_EQ(second.outcome, verdict::may_have_run);
    EXPECT_EQ(server.requests(), 2) << "body '" << body << "'";
  }
}

TEST(backend, cancelled_request_ends_at_once) {
  raw_server server{[](int) { return raw_script{whole_answer, false, 300}; }};
  backend_client client;
  int asked = 0;
  const auto answer = client.send(request_to(server.port(), "POST"), [&asked] { return ++asked > 2; });
  EXPECT_EQ(answer.why, reason::cancelled);
  EXPECT_EQ(answer.outcome, verdict::may_have_run);
}

TEST(backend, answer_over_the_limit_is_refused_and_counts_as_possible_run) {
  raw_server server{[](int) {
    return raw_script{"HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + std::string(4000, 'x')};
  }};
  backend_client client;
  auto request = request_to(server.port(), "GET");
  request.answer_limit_bytes = 1000;
  const auto answer = client.send(request, never);
  EXPECT_EQ(answer.why, reason::answer_too_large);
  EXPECT_EQ(answer.outcome, verdict::may_have_run);
}

TEST(backend, probe_reads_state_and_never_trusts_nonsense) {
  const std::string body = R"({"state":"leaving","slots":3,"in_use":2})";
  raw_server good{[&body](int) {
    return raw_script{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                      body};
  }};
  raw_server bad{[](int) { return raw_script{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n???"}; }};
  backend_client client;
  const auto report = client.probe(upstream_id{"127.0.0.1:" + std::to_string(good.port())}, duration{1000});
  EXPECT_TRUE(report.reachable);
  EXPECT_TRUE(report.leaving);
  EXPECT_EQ(report.in_use, 2);
  EXPECT_FALSE(
      client.probe(upstream_id{"127.0.0.1:" + std::to_string(bad.port())}, duration{1000}).reachable);
}

}  // namespace
}  // namespace zinnia
