// The contract between nodes: exchanges over real connections, with what can go wrong on them.
#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <thread>

#include "zinnia/wire/control_links.hpp"
#include "zinnia/wire/exchange_pool.hpp"
#include "zinnia/wire/peer_listener.hpp"

namespace zinnia {
namespace {

const socket_address any_port{"127.0.0.1", 0};

/// What a listener saw, and how it answers exchanges.
class peer {
 public:
  explicit peer(
      const std::function<exchange_answer(const exchange_request&, const std::function<bool()>&)>& respond)
      : listener{any_port,
                 {[this](const node_id&, const peer_message& message) { this->note_control(message); },
                  [respond](const exchange_request& request, const std::function<bool()>& cancelled) {
                    return respond(request, cancelled);
                  },
                  [this](const error& cause) { this->note_refusal(cause.code); }}} {}

  [[nodiscard]] socket_address address() const { return {"127.0.0.1", this->listener.port()}; }

  [[nodiscard]] reason wait_for_refusal() {
    const absl::MutexLock lock{&this->mutex};
    const auto some = [this] { return !this->refusals.empty(); };
    this->mutex.AwaitWithTimeout(absl::Condition(&some), absl::Seconds(10));
    return this->refusals.empty() ? reason::none : this->refusals.back();
  }

  [[nodiscard]] std::size_t wait_for_control(std::size_t count) {
    const absl::MutexLock lock{&this->mutex};
    const auto enough = [this, count] { return this->controls >= count; };
    this->mutex.AwaitWithTimeout(absl::Condition(&enough), absl::Seconds(10));
    return this->controls;
  }

 private:
  void note_control(const peer_message& /*message*/) {
    const absl::MutexLock lock{&this->mutex};
    ++this->controls;
  }
  void note_refusal(reason why) {
    const absl::MutexLock lock{&this->mutex};
    this->refusals.push_back(why);
  }

  absl::Mutex mutex;
  std::vector<reason> refusals;
  std::size_t controls{0};
  peer_listener listener;
};

[[nodiscard]] exchange_answer echo(const exchange_request& request,
                                   const std::function<bool()>& /*cancelled*/) {
  exchange_answer answer;
  answer.id = request.id;
  answer.status = 200;
  answer.outcome = verdict::ran;
  answer.body = request.body;
  return answer;
}

[[nodiscard]] exchange_request request_of(const std::string& id, std::int64_t limit_ms = 5000) {
  exchange_request request;
  request.id = request_id{id};
  request.service = service_id{"s"};
  request.method = "GET";
  request.path = "/";
  request.origin_region = region_id{"r"};
  request.deadline_left = duration{limit_ms};
  return request;
}

[[nodiscard]] bool never() {
  return false;
}

TEST(peer_link, large_bodies_of_many_callers_never_mix) {
  constexpr int callers = 8;
  constexpr int turns = 5;
  constexpr std::size_t large = 3 << 20;
  peer other{echo};
  exchange_pool pool{node_id{"me"}, ""};
  std::vector<std::thread> threads;
  std::atomic<int> wrong{0};
  for (int i = 0; i < callers; ++i) {
    threads.emplace_back([&, i] {
      for (int turn = 0; turn < turns; ++turn) {
        auto request = request_of(std::to_string(i) + '/' + std::to_string(turn), 60'000);
        request.body = std::string(large + static_cast<std::size_t>(i), static_cast<char>('a' + i));
        const auto answer = pool.exchange(other.address(), request, never);
        wrong += answer.outcome != verdict::ran || answer.body != request.body ? 1 : 0;
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(wrong, 0);
}

TEST(peer_link, nobody_there_did_not_run) {
  exchange_pool pool{node_id{"me"}, ""};
  socket_address gone;
  {
    const peer other{echo};
    gone = other.address();
  }
  const auto answer = pool.exchange(gone, request_of("1"), never);
  EXPECT_EQ(answer.outcome, verdict::did_not_run);
  EXPECT_EQ(answer.why, reason::peer_unreachable);
}

TEST(peer_link, answer_to_another_request_is_not_taken) {
  peer other{[](const exchange_request& request, const auto& cancelled) {
    auto answer = echo(request, cancelled);
    answer.id = request_id{"somebody else's"};
    return answer;
  }};
  exchange_pool pool{node_id{"me"}, ""};
  const auto answer = pool.exchange(other.address(), request_of("1"), never);
  EXPECT_EQ(answer.outcome, verdict::may_have_run);
  EXPECT_EQ(answer.why, reason::malformed_frame);
}

TEST(peer_link, late_answer_may_have_run) {
  peer other{[](const exchange_request& request, const auto& cancelled) {
    std::this_thread::sleep_for(std::chrono::milliseconds{1200});
    return echo(request, cancelled);
  }};
  exchange_pool pool{node_id{"me"}, ""};
  const auto answer = pool.exchange(other.address(), request_of("1", 100), never);
  EXPECT_EQ(answer.outcome, verdict::may_have_run);
  EXPECT_EQ(answer.why, reason::peer_lost);
}

TEST(peer_link, cancellation_reaches_the_other_node) {
  std::atomic<bool> noticed{false};
  peer other{[&noticed](const exchange_request& request, const std::function<bool()>& cancelled) {
    for (int i = 0; i < 500 && !noticed; ++i) {
      noticed = cancelled();
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return echo(request, cancelled);
  }};
  exchange_pool pool{node_id{"me"}, ""};
  const auto answer = pool.exchange(other.address(), request_of("1"), [] { return true; });
  EXPECT_EQ(answer.why, reason::cancelled);
  for (int i = 0; i < 500 && !noticed; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds{10});
  }
  EXPECT_TRUE(noticed);
}

struct bad_bytes {
  const char* name;
  std::string bytes;
  reason expected;
};

class bad_peers : public testing::TestWithParam<bad_bytes> {};

TEST_P(bad_peers, are_refused_and_others_go_on) {
  peer other{echo};
  auto raw = frame_socket::connect(other.address(), "", duration{1000});
  ASSERT_TRUE(raw);
  const auto& bytes = GetParam().bytes;
  ASSERT_EQ(::send(raw->descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(bytes.size()));
  EXPECT_EQ(other.wait_for_refusal(), GetParam().expected);
  exchange_pool pool{node_id{"me"}, ""};
  EXPECT_EQ(pool.exchange(other.address(), request_of("1"), never).outcome, verdict::ran);
}

INSTANTIATE_TEST_SUITE_P(
    table, bad_peers,
    testing::Values(bad_bytes{"garbage", "GET / HTTP/1.1\r\n\r\n", reason::malformed_frame},
                    bad_bytes{"oversized", std::string("ZNF1\xff\xff\xff\x7f"), reason::frame_too_large},
                    bad_bytes{"garbage_after_magic", std::string("ZNF1\x08\x00\x00\x00", 8) + "abcdefgh",
                              reason::malformed_frame},
                    bad_bytes{"no_hello_first", encode_frame(request_of("1")), reason::malformed_frame},
                    bad_bytes{"other_version", encode_frame(hello{99, node_id{"x"}, link_role::traffic}),
                              reason::version_mismatch},
                    bad_bytes{"traffic_on_control",
                              encode_frame(hello{wire_protocol, node_id{"x"}, link_role::control}) +
                                  encode_frame(request_of("1")),
                              reason::malformed_frame}),
    [](const auto& info) { return std::string{info.param.name}; });

TEST(peer_link, control_messages_arrive_and_a_dead_peer_does_not_block) {
  control_links links{node_id{"me"}, ""};
  peer other{echo};
  const peer_message beat{heartbeat{}};
  links.send({"127.0.0.1", 1}, beat);
  links.send(other.address(), beat);
  links.send(other.address(), beat);
  EXPECT_EQ(other.wait_for_control(2), 2);
}

}  // namespace
}  // namespace zinnia
