// Damaged heartbeats, notices and registry entries: an error, or values within their ranges and no larger
// than the input.
#include <gtest/gtest.h>

#include "standins/byte_mutator.hpp"
#include "zinnia/membership/account_limit_codec.hpp"
#include "zinnia/membership/heartbeat_codec.hpp"
#include "zinnia/membership/holder_notice_codec.hpp"
#include "zinnia/membership/member_codec.hpp"
#include "zinnia/membership/quarantine_codec.hpp"

namespace zinnia {
namespace {

using standins::byte_mutator;

constexpr int input_count = 30'000;

TEST(random_input, heartbeats_give_an_error_or_no_more_than_they_hold) {
  node_heartbeat heartbeat;
  heartbeat.id = node_id{"node-1"};
  heartbeat.incarnation = incarnation_id{"1700-5"};
  heartbeat.ready = true;
  heartbeat.latest_versions = {object_version{5}, object_version{7}};
  byte_mutator inputs{{encode_heartbeat(heartbeat), encode_heartbeat({})}, 1};
  for (int i = 0; i < input_count; ++i) {
    const auto datagram = inputs.next();
    const auto decoded = decode_heartbeat(datagram);
    if (!decoded) {
      EXPECT_EQ(decoded.last_error().code, reason::malformed_frame) << i;
      continue;
    }
    EXPECT_LE(decoded->id.str().size(), datagram.size()) << i;
    EXPECT_LE(decoded->incarnation.str().size(), datagram.size()) << i;
    EXPECT_LE(decoded->latest_versions.size() * sizeof(std::int64_t), datagram.size()) << i;
  }
}

TEST(random_input, notices_give_an_error_or_values_in_range) {
  const std::vector<holder_notice> holders{{1, 2, duration{300}}, {3, 4, duration{0}}};
  crash_report crash;
  crash.request = request_fingerprint{9};
  crash.level = 2;
  crash.age = duration{500};
  byte_mutator inputs{{encode_holder_notices(holders), encode_crash_reports(std::vector<crash_report>{crash}),
                       encode_account_messages({{{1, 2, 3}}, {{4, 5, 6}}})},
                      2};
  for (int i = 0; i < input_count; ++i) {
    const auto decoded = decode_notices(inputs.next());
    if (!decoded) {
      EXPECT_EQ(decoded.last_error().code, reason::malformed_frame) << i;
      continue;
    }
    EXPECT_LE(decoded->holders.size(), max_notices_per_datagram) << i;
    EXPECT_LE(decoded->crashes.size(), max_notices_per_datagram) << i;
    for (const auto& grant : decoded->accounts.grants) {
      EXPECT_LE(grant.thousandths, 1'000'000'000U) << i;
    }
    for (const auto& notice : decoded->holders) {
      EXPECT_TRUE(notice.loads_for >= duration{0} && notice.loads_for <= duration{60'000}) << i;
    }
    for (const auto& report : decoded->crashes) {
      EXPECT_TRUE(report.level >= 0 && report.level <= 3) << i;
      EXPECT_TRUE(report.age >= duration{0} && report.age <= duration{86'400'000}) << i;
    }
  }
}

TEST(random_input, registry_entries_give_an_error_or_can_be_written_again) {
  member node;
  node.id = node_id{"n"};
  node.where = {failure_domain_id{"a"}, region_id{"r"}};
  node.caller_address = "127.0.0.1:1";
  node.peer_address = {"127.0.0.1", 2};
  node.operator_address = "127.0.0.1:3";
  node.incarnation = incarnation_id{"1"};
  byte_mutator inputs{{encode_member(node)}, 3};
  for (int i = 0; i < input_count; ++i) {
    const auto decoded = decode_member("n", inputs.next());
    if (decoded) {
      const auto again = decode_member("n", encode_member(*decoded));
      ASSERT_TRUE(again) << i;
      EXPECT_EQ(*again, *decoded) << i;
    }
  }
}

TEST(random_input, quarantines_give_an_error_or_values_in_range) {
  crash_report crash;
  crash.request = request_fingerprint{9};
  crash.crashes = 3;
  crash.age = duration{500};
  constexpr std::int64_t now = 1'700'000'000'000;
  byte_mutator inputs{{encode_quarantine(crash, now)}, 4};
  for (int i = 0; i < input_count; ++i) {
    const auto decoded = decode_quarantine(quarantine_name(crash.request), inputs.next(), now);
    if (decoded) {
      EXPECT_GE(decoded->crashes, 1) << i;
      EXPECT_GE(decoded->age, duration{0}) << i;
      EXPECT_GE(decoded->first_age, decoded->age) << i;
    }
  }
}

}  // namespace
}  // namespace zinnia
