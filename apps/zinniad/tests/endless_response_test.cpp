// A store, backend servers and peers that send bytes without end, at a node with little memory: the process
// lives and stays within its memory.
#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <thread>

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

}  // namespace
}  // namespace zinnia::testing_support
