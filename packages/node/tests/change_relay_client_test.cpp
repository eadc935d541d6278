// Tests how the change relay's client places a source's proof on its own clock.
#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "change_relay_client.hpp"
#include "standins/threaded_http_server.hpp"
#include "zinnia/store/change_relay_codec.hpp"

using namespace zinnia;

namespace {

constexpr duration source_age{2000};

// A follower that adds nothing for the age, or counts from the arrival, accepts removed keys for too long.
TEST(change_relay_client_test, counts_a_proof_from_its_poll_less_the_age_that_the_source_states) {
  std::string wait_ms;
  standins::threaded_http_server source{
      0, [&](const auto& request) {
        wait_ms = request.query.at("wait_ms");
        std::this_thread::sleep_for(std::chrono::milliseconds{200});
        const auto stated = relayed_confirmation{config_version{7}, source_age};
        return standins::server_response{200, {}, encode_relayed_changes({feed_reply{}}, stated), false};
      }};
  async_http_client calls;
  std::optional<confirmed_configuration> received;
  std::string failure;
  change_relay_client client{calls,
                             {[] { return std::vector<object_version>{object_version{5}}; },
                              [&](const auto&, const auto& confirmed) { received = confirmed; },
                              [&](const auto& cause) { failure = cause; }},
                             true};
  member from;
  from.id = node_id{"source"};
  from.peer_address = {"127.0.0.1", source.port()};
  client.set_source(from);
  const auto polled_at = boot_clock{}.now();
  client.poll(polled_at, true);
  for (int i = 0; i < 100 && !received && failure.empty(); ++i) {
    calls.wait(duration{50}, -1);
  }
  ASSERT_TRUE(received) << failure;
  EXPECT_EQ(received->version, config_version{7});
  EXPECT_EQ(received->query_time, polled_at - source_age);
  EXPECT_EQ(wait_ms, "500") << "the proof of a held answer is as old as the poll";
}

}  // namespace
