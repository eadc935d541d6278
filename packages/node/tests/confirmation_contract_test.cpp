// Tests of the proof that a node's configuration is current, with the store stand-in and several control
// threads.
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>

#include "control_node.hpp"
#include "standins/platform_store.hpp"
#include "store_contents.hpp"

using namespace zinnia;
using standins::platform_store;
using standins::threaded_http_server;

namespace {

/// Short, so that a proof ends soon; still longer than two of the calls that renew it.
constexpr duration limit{3000};

class confirmation_contract : public testing::Test {
 protected:
  void SetUp() override {
    this->store.put("config", "main", make_config("00000001", "/one/"));
    this->store.put("servers", "i-1", make_server("ready"));
    this->server.emplace(0, [this](const auto& request) { return this->store.handle(request); });
    // The same store, through which single nodes can be refused.
    this->second_access.emplace(0, [this](const auto& request) {
      return this->refuses ? standins::server_response{503, {}, "", false} : this->store.handle(request);
    });
  }
  [[nodiscard]] std::unique_ptr<control_node> start(const std::string& name, const node_capacity& capacity) {
    return std::make_unique<control_node>(name, capacity, this->server->port(), limit);
  }
  /// Returns false if the node has no proof at any time of the given span.
  [[nodiscard]] static bool stays_confirmed(control_node& node, duration span) {
    const auto end = boot_clock{}.now() + span;
    while (boot_clock{}.now() < end) {
      if (!node.is_confirmed()) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return true;
  }

  platform_store store{2};
  std::atomic<bool> refuses{false};
  std::optional<threaded_http_server> server;
  std::optional<threaded_http_server> second_access;
};

TEST_F(confirmation_contract, the_proof_ends_when_the_store_stops_answering_and_returns_with_it) {
  const auto node = this->start("l1", large_capacity);
  ASSERT_TRUE(wait_until([&] { return node->is_confirmed(); }));
  EXPECT_TRUE(this->stays_confirmed(*node, limit + duration{1000})) << "an idle watch must renew it";
  this->store.set_faults({.error_status = 503});
  const auto failed_at = boot_clock{}.now();
  ASSERT_TRUE(wait_until([&] { return !node->is_confirmed(); }));
  EXPECT_LE(boot_clock{}.now() - failed_at, limit) << "a removed key would be accepted too long";
  this->store.set_faults({});
  EXPECT_TRUE(wait_until([&] { return node->is_confirmed(); }));
}

TEST_F(confirmation_contract, a_node_that_follows_has_the_proof_of_its_source) {
  const auto first = this->start("l1", large_capacity);
  const auto second = this->start("l2", large_capacity);
  const auto standby = this->start("s1", small_capacity);
  // A span without calls in which a proof from the store would have ended.
  ASSERT_TRUE(wait_until([&] {
    const auto calls = standby->store_calls();
    return this->stays_confirmed(*standby, limit + duration{500}) && standby->store_calls() == calls;
  }));
  first->hide_confirmation();
  second->hide_confirmation();
  EXPECT_TRUE(wait_until([&] { return !standby->is_confirmed(); }))
      << "an answer of an older build proves nothing";
}

// The store rejects a part of the nodes at times; the others know that the configuration is current.
TEST_F(confirmation_contract, a_node_refused_by_the_store_keeps_its_proof_by_a_peer) {
  const auto peer = this->start("l1", large_capacity);
  control_node refused{"l2", large_capacity, this->second_access->port(), limit};
  ASSERT_TRUE(wait_until([&] { return peer->is_confirmed() && refused.is_confirmed(); }));
  ASSERT_TRUE(wait_until([&] { return this->store.contains("zinnia-nodes", "l1"); }));
  ASSERT_TRUE(wait_until([&] { return this->store.contains("zinnia-nodes", "l2"); }));
  // The nodes hear of each other's entries and exchange heartbeats.
  std::this_thread::sleep_for(std::chrono::seconds{2});
  this->refuses = true;
  EXPECT_TRUE(this->stays_confirmed(refused, limit * 2));
  EXPECT_GT(peer->poll_count(), 0);
  this->store.put("config", "main", make_config("00000002", "/two/"));
  EXPECT_TRUE(wait_until([&] { return refused.knows_route("/two/") && refused.is_confirmed(); }));
  this->refuses = false;
  const auto polls_until = [&] {
    const auto polls = peer->poll_count();
    std::this_thread::sleep_for(std::chrono::milliseconds{700});
    return peer->poll_count() == polls;
  };
  EXPECT_TRUE(wait_until(polls_until)) << "it must return to the store";
  EXPECT_TRUE(this->stays_confirmed(refused, limit + duration{500}));
}

}  // namespace
