// Crowds of clients that send what no sound client sends, at a node with little memory. Whatever they do, the
// process lives, stays within its memory and its descriptors, and serves ordinary callers.
//
// Each test starts a process of its own and fills its machine's limits, so they run one at a time.
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "client_crowd.hpp"
#include "node_under_load.hpp"

namespace zinnia::testing_support {
namespace {

constexpr std::uint64_t body_bytes = 8 << 20;
constexpr std::size_t piece_bytes = 64 << 10;
constexpr std::uint64_t large_body_bytes = 64 << 20;
constexpr std::chrono::seconds sending_limit{120};
constexpr std::chrono::milliseconds slow_pause{1000};
/// For how long a crowd stays before an ordinary caller comes.
constexpr std::chrono::milliseconds holding_time{2000};
constexpr std::uint64_t endless = 1'000'000;

[[nodiscard]] std::string upload_head(const std::string& framing) {
  return "POST /up/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: crowd\r\n" + framing + "\r\n\r\n";
}
[[nodiscard]] std::string length_head(std::uint64_t length) {
  return upload_head(absl::StrCat("Content-Length: ", length));
}
[[nodiscard]] std::string chunked_head() {
  return upload_head("Transfer-Encoding: chunked");
}
[[nodiscard]] std::string chunk_of(std::size_t size) {
  return absl::StrCat(absl::Hex(size), "\r\n", std::string(size, 'c'), "\r\n");
}
[[nodiscard]] std::string repeat(const std::string& text, std::size_t count) {
  std::string repeated;
  for (std::size_t i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}
/// A body that lacks its last 600 bytes, in pieces.
[[nodiscard]] std::vector<script_step> unfinished_body(std::uint64_t size, std::size_t piece) {
  return {{length_head(size)}, {std::string(piece, 'b'), size / piece - 1}, {std::string(piece - 600, 'b')}};
}
/// A chunked body that lacks its last chunk.
[[nodiscard]] std::vector<script_step> unfinished_chunks(std::uint64_t size, std::size_t chunk) {
  const auto chunks_a_piece = std::max<std::size_t>(piece_bytes / chunk, 1);
  return {{chunked_head()},
          {repeat(chunk_of(chunk), chunks_a_piece), size / (chunk * chunks_a_piece) - 1},
          {chunk_of(1)}};
}
[[nodiscard]] std::vector<script_step> then(std::vector<script_step> script, const script_step& last) {
  script.push_back(last);
  return script;
}

using planned_crowds = std::function<std::vector<crowd_plan>(const node_under_load&)>;

/// A crowd at the callers' port.
[[nodiscard]] planned_crowds callers(int clients, const std::vector<script_step>& script, bool reads = true,
                                     bool reconnects = false) {
  return [=](const node_under_load& node) {
    return std::vector<crowd_plan>{{node.ports().caller_port, clients, script, reads, reconnects}};
  };
}

/// The same crowd at one of the other ports.
[[nodiscard]] planned_crowds others(int clients, const std::vector<script_step>& script,
                                    std::uint16_t (*port)(const node_under_load&)) {
  return [=](const node_under_load& node) { return std::vector<crowd_plan>{{port(node), clients, script}}; };
}

[[nodiscard]] std::uint16_t readiness_port(const node_under_load& node) {
  return node.ports().readiness_port;
}
[[nodiscard]] std::uint16_t directory_port(const node_under_load& node) {
  return node.ports().directory_port;
}
[[nodiscard]] std::uint16_t operator_port(const node_under_load& node) {
  return node.operator_port();
}
[[nodiscard]] std::uint16_t peer_port(const node_under_load& node) {
  return node.ports().peer_port;
}
[[nodiscard]] std::uint16_t forward_port(const node_under_load& node) {
  return node.forward_port();
}

/// As many connections as there are descriptors, at all ports together.
[[nodiscard]] std::vector<crowd_plan> everywhere(const node_under_load& node) {
  const std::vector<script_step> script{{"G"}};
  return {{node.ports().caller_port, 1000, script, true, true},
          {node.ports().directory_port, 1000, script, true, true},
          {node.ports().readiness_port, 400, script, true, true},
          {node.operator_port(), 400, script, true, true},
          {node.ports().peer_port, 400, script, true, true},
          {node.forward_port(), 600, script, true, true}};
}

struct crowd_case {
  const char* name;
  planned_crowds crowds;
  load_limits limits{};
  /// Sent to the process while the crowd is there; 0 for none.
  int signal{0};
  bool sends{true};
};

std::ostream& operator<<(std::ostream& out, const crowd_case& row) {
  return out << row.name;
}

[[nodiscard]] std::string get(const std::string& path, const std::string& fields) {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

[[nodiscard]] std::vector<crowd_case> crowd_cases() {
  const load_limits large{160, 1024, large_body_bytes};
  // So little that a crowd of small requests fills it.
  const load_limits small_node{64, 1024, body_bytes};
  const std::string tiny_fields = repeat("a:\r\n", 4000);
  const std::string long_id(15'000, 'i');
  const auto drip = [](const char* bytes) { return script_step{bytes, endless, slow_pause}; };
  return {
      // Bodies of legal size that stop just short of their end.
      {"bodies_at_once", callers(40, unfinished_body(body_bytes, piece_bytes))},
      {"bodies_in_small_pieces", callers(40, unfinished_body(body_bytes, 4096))},
      {"bodies_that_go_on_slowly", callers(40, then(unfinished_body(body_bytes, piece_bytes), drip("b")))},
      {"bodies_after_100_continue",
       callers(40, {{upload_head(absl::StrCat("Expect: 100-continue\r\nContent-Length: ", body_bytes))},
                    {std::string(piece_bytes, 'b'), body_bytes / piece_bytes - 1}})},
      {"large_chunks", callers(40, unfinished_chunks(body_bytes, piece_bytes))},
      {"small_chunks", callers(40, unfinished_chunks(body_bytes, 16))},
      {"chunks_of_one_byte", callers(40, unfinished_chunks(body_bytes, 1))},
      {"largest_bodies", callers(20, unfinished_body(large_body_bytes, piece_bytes)), large},
      {"largest_bodies_in_chunks", callers(20, unfinished_chunks(large_body_bytes, piece_bytes)), large},
      {"bodies_of_clients_that_come_back", callers(40, unfinished_body(body_bytes, piece_bytes), true, true)},
      // Bodies over the limit.
      {"announced_over_the_limit",
       callers(40, {{length_head(8 * body_bytes)}, {std::string(piece_bytes, 'b'), 512}})},
      {"sent_over_the_limit", callers(40, {{chunked_head()}, {chunk_of(piece_bytes), 512}})},
      // Whole requests.
      {"whole_bodies", callers(40, then(unfinished_body(body_bytes, piece_bytes), {std::string(600, 'b')}))},
      {"whole_bodies_without_reading",
       callers(40, then(unfinished_body(body_bytes, piece_bytes), {std::string(600, 'b')}), false)},
      {"pipelined_bodies",
       callers(40, {{length_head(body_bytes / 12) + std::string(body_bytes / 12, 'b'), 12}})},
      {"pipelined_requests", callers(400, {{get("/get/1", "Request-Id: crowd\r\n"), 64}}, false), small_node},
      {"pipelined_heads_of_many_fields",
       callers(100, {{get("/get/1", tiny_fields + "Request-Id: crowd\r\n"), 64}}, false)},
      {"pipelined_without_reading", callers(400, {{get("/big/1", "Request-Id: crowd\r\n"), 16}}, false)},
      {"long_request_ids", callers(100, {{get("/get/1", "Request-Id: " + long_id + "\r\n"), 40}}),
       small_node},
      {"long_request_ids_without_a_route", callers(100, {{get("/none/" + long_id, "Request-Id: a\r\n"), 40}}),
       small_node},
      // Heads, chunk extensions and trailers without end.
      {"heads_of_many_fields",
       callers(400, {{"GET /get/1 HTTP/1.1\r\nHost: h\r\n" + tiny_fields}, drip("a")}), small_node},
      {"chunk_extensions", callers(400, {{chunked_head() + "5;"}, {std::string(4096, 'x'), 80}, drip("x")}),
       small_node},
      {"trailers",
       callers(400, {{chunked_head() + "0\r\n"}, {repeat("t: 12345678\r\n", 300), 80}, drip("t")}),
       small_node},
      // Connections.
      {"more_slow_bodies_than_connections",
       callers(900, {{length_head(body_bytes) + std::string(4096, 'b')}, drip("b")}, true, true)},
      {"more_slow_heads_than_connections",
       callers(900, {{"GET /get/1 HTTP/1.1\r\nHost: h\r\n"}, drip("a")}, true, true)},
      {"more_silent_connections_than_allowed",
       callers(900, {{"", 1, slow_pause * 60}}, true, true),
       {},
       0,
       false},
      {"connections_at_all_ports", everywhere},
      // Other ports.
      {"bodies_at_the_directory", others(40, unfinished_body(body_bytes, piece_bytes), directory_port)},
      {"bodies_at_the_readiness_port", others(40, unfinished_body(body_bytes, piece_bytes), readiness_port)},
      {"bodies_at_the_operator_port", others(40, unfinished_body(body_bytes, piece_bytes), operator_port)},
      {"bodies_at_the_peer_port", others(40, unfinished_body(body_bytes, piece_bytes), peer_port)},
      {"bodies_at_the_forwarding_port", others(40, unfinished_body(body_bytes, piece_bytes), forward_port)},
      // Beside planned work.
      {"bodies_beside_a_reload", callers(40, unfinished_body(body_bytes, piece_bytes)), {}, SIGHUP},
  };
}

class client_crowds : public testing::TestWithParam<crowd_case> {
 protected:
  void expect_within_limits(const node_under_load& node) const {
    constexpr std::uint64_t bytes_per_mb = 1'000'000;
    EXPECT_TRUE(node.usage().is_alive());
    EXPECT_LE(node.usage().peak_memory(), GetParam().limits.memory_mb * bytes_per_mb);
    EXPECT_LE(node.usage().peak_descriptors(), static_cast<std::uint64_t>(GetParam().limits.max_descriptors));
  }
};

TEST_P(client_crowds, leave_the_node_within_its_limits_and_serving) {
  const auto& row = GetParam();
  node_under_load node{row.limits};
  ASSERT_TRUE(node.serves_ordinary_caller());
  {
    const client_crowd crowd{node.ports().ip, row.crowds(node)};
    EXPECT_TRUE(crowd.wait_until_sent(sending_limit));
    EXPECT_EQ(crowd.bytes_sent() > 0, row.sends);
    std::this_thread::sleep_for(holding_time);
    if (row.signal != 0) {
      node.write_configuration(row.limits.max_body_bytes / 2);
      node.node().signal(row.signal);
    }
    EXPECT_TRUE(node.serves_ordinary_caller()) << "beside the crowd";
    this->expect_within_limits(node);
  }
  EXPECT_TRUE(node.serves_ordinary_caller()) << "after the crowd";
  this->expect_within_limits(node);
  std::cout << row.name << ": at most " << node.usage().peak_memory() << " bytes and "
            << node.usage().peak_descriptors() << " descriptors\n";
}

INSTANTIATE_TEST_SUITE_P(zinniad, client_crowds, testing::ValuesIn(crowd_cases()),
                         [](const auto& tested) { return std::string{tested.param.name}; });

/// The largest legal body on the smallest machine.
TEST(calm_node, serves_single_uploads_of_the_largest_size) {
  const load_limits limits{160, 4100, large_body_bytes};
  node_under_load node{limits};
  ASSERT_TRUE(node.serves_ordinary_caller());
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(node.send_upload(large_body_bytes, false), 200);
    EXPECT_EQ(node.send_upload(large_body_bytes, true), 200);
  }
  EXPECT_TRUE(node.usage().is_alive());
  constexpr std::uint64_t max_memory = 160'000'000;
  EXPECT_LE(node.usage().peak_memory(), max_memory);
}

/// A stop ends in time, whatever clients hold open.
TEST(stopping_node, ends_beside_a_crowd) {
  node_under_load node{{}};
  ASSERT_TRUE(node.serves_ordinary_caller());
  const client_crowd crowd{node.ports().ip,
                           {{node.ports().caller_port, 40,
                             then(unfinished_body(body_bytes, piece_bytes), {"b", endless, slow_pause})}}};
  EXPECT_TRUE(crowd.wait_until_sent(sending_limit));
  node.node().signal(SIGTERM);
  constexpr int hang_ms = 30'000;
  const auto status = node.node().wait_for_exit(hang_ms);
  ASSERT_TRUE(status);
  EXPECT_EQ(*status, 0);
  constexpr std::uint64_t max_memory = 160'000'000;
  EXPECT_LE(node.usage().peak_memory(), max_memory);
}

}  // namespace
}  // namespace zinnia::testing_support
