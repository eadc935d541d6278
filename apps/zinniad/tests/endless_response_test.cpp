// A store and backend servers that send bytes without end, at a node with little memory: the process lives
// and stays within its memory.
#include <gtest/gtest.h>

#include <chrono>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "client_crowd.hpp"
#include "node_under_load.hpp"
#include "standins/scripted_tcp_server.hpp"

namespace zinnia::testing_support {
namespace {

using standins::scripted_response;
using standins::scripted_tcp_server;

constexpr std::chrono::seconds faulty_time{5};
constexpr std::uint64_t bytes_per_mb = 1'000'000;

struct endless_case {
  const char* name;
  std::string begin;
  std::string repeated;
};

std::ostream& operator<<(std::ostream& out, const endless_case& row) {
  return out << row.name;
}

class endless_store : public testing::TestWithParam<endless_case> {};

TEST_P(endless_store, does_not_fill_the_memory) {
  const auto& row = GetParam();
  const scripted_tcp_server store{
      [&](int) { return scripted_response{row.begin, false, 0, false, false, row.repeated}; }};
  load_limits limits;
  limits.faulty_store_port = store.port();
  node_under_load node{limits};
  std::this_thread::sleep_for(faulty_time);
  EXPECT_GE(store.requests(), 2);
  EXPECT_TRUE(node.usage().is_alive());
  EXPECT_LE(node.usage().peak_memory(), limits.memory_mb * bytes_per_mb);
  std::cout << row.name << ": at most " << node.usage().peak_memory() << " bytes, " << store.requests()
            << " calls\n";
}

INSTANTIATE_TEST_SUITE_P(zinniad, endless_store,
                         testing::Values(endless_case{"body", "HTTP/1.1 200 X\r\n\r\n", "data"},
                                         endless_case{"chunks",
                                                      "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n",
                                                      "4\r\ndata\r\n"},
                                         endless_case{"head", "HTTP/1.1 200 X\r\n", "Name: value\r\n"},
                                         endless_case{"no_http", "", "data"}),
                         [](const auto& tested) { return std::string{tested.param.name}; });

class endless_backend : public testing::TestWithParam<endless_case> {};

TEST_P(endless_backend, does_not_fill_the_memory_by_many_requests) {
  const auto& row = GetParam();
  // Stalls before any bound on one response applies, and so holds all of it until the deadline.
  const scripted_tcp_server server{
      [&](int) {
        scripted_response response{row.begin + row.repeated};
        response.close_delay_ms = 10'000;
        return response;
      },
      scripted_response{"HTTP/1.1 200 X\r\nInstance-Id: f0\r\nContent-Length: 0\r\n\r\n"}};
  load_limits limits{64, 2400};
  limits.faulty_backend_port = server.port();
  node_under_load node{limits};
  ASSERT_TRUE(node.serves_ordinary_caller());
  {
    const client_crowd crowd{
        node.ports().ip,
        {{node.ports().caller_port, 500, {{"GET /faulty/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\n\r\n"}}}}};
    EXPECT_TRUE(crowd.wait_until_sent(std::chrono::seconds{20}));
    std::this_thread::sleep_for(std::chrono::seconds{3});
    EXPECT_TRUE(node.serves_ordinary_caller());
  }
  EXPECT_TRUE(node.usage().is_alive());
  EXPECT_LE(node.usage().peak_memory(), limits.memory_mb * bytes_per_mb);
  std::cout << row.name << ": at most " << node.usage().peak_memory() << " bytes, " << server.requests()
            << " requests\n";
}

INSTANTIATE_TEST_SUITE_P(
    zinniad, endless_backend,
    testing::Values(endless_case{"head", "HTTP/1.1 200 X\r\nName: ", std::string(60'000, 'v')},
                    endless_case{"body", "HTTP/1.1 200 X\r\nServer-Stamp: s\r\nRequest-Id: c\r\n\r\n",
                                 std::string(60'000, 'd')},
                    endless_case{"trailer",
                                 "HTTP/1.1 200 X\r\nServer-Stamp: s\r\nRequest-Id: c\r\nTransfer-Encoding: "
                                 "chunked\r\n\r\n0\r\nName: ",
                                 std::string(60'000, 'v')}),
    [](const auto& tested) { return std::string{tested.param.name}; });

class endless_body : public testing::TestWithParam<endless_case> {};

TEST_P(endless_body, does_not_fill_the_memory_whether_callers_read_it_or_not) {
  const auto& row = GetParam();
  const scripted_tcp_server server{
      [&](int) { return scripted_response{row.begin, false, 0, false, false, row.repeated}; },
      scripted_response{"HTTP/1.1 200 X\r\nInstance-Id: f0\r\nContent-Length: 0\r\n\r\n"}};
  load_limits limits;
  limits.faulty_backend_port = server.port();
  node_under_load node{limits};
  ASSERT_TRUE(node.serves_ordinary_caller());
  const std::vector<script_step> script{{"GET /faulty/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: c\r\n\r\n"}};
  for (const bool reads : {true, false}) {
    const client_crowd crowd{node.ports().ip, {{node.ports().caller_port, 40, script, reads}}};
    EXPECT_TRUE(crowd.wait_until_sent(std::chrono::seconds{20}));
    std::this_thread::sleep_for(std::chrono::seconds{2});
    EXPECT_TRUE(node.serves_ordinary_caller()) << reads;
  }
  EXPECT_GE(server.requests(), 40);
  EXPECT_TRUE(node.usage().is_alive());
  EXPECT_LE(node.usage().peak_memory(), limits.memory_mb * bytes_per_mb);
  std::cout << row.name << ": at most " << node.usage().peak_memory() << " bytes, " << server.requests()
            << " requests\n";
}

INSTANTIATE_TEST_SUITE_P(
    zinniad, endless_body,
    testing::Values(endless_case{"without_a_length",
                                 "HTTP/1.1 200 X\r\nServer-Stamp: s\r\nRequest-Id: c\r\n\r\n", "data"},
                    endless_case{"chunks",
                                 "HTTP/1.1 200 X\r\nServer-Stamp: s\r\nRequest-Id: c\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n",
                                 "400\r\n" + std::string(1024, 'd') + "\r\n"},
                    endless_case{"of_a_failure", "HTTP/1.1 500 X\r\nRequest-Id: c\r\n\r\n", "data"},
                    endless_case{"without_a_stamp", "HTTP/1.1 200 X\r\nRequest-Id: c\r\n\r\n", "data"},
                    endless_case{"for_another_request",
                                 "HTTP/1.1 200 X\r\nServer-Stamp: s\r\nRequest-Id: d\r\n\r\n", "data"}),
    [](const auto& tested) { return std::string{tested.param.name}; });

}  // namespace
}  // namespace zinnia::testing_support
