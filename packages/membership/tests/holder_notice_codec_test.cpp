// Round trips of holder notices, and datagrams that are not notices.
#include "zinnia/membership/holder_notice_codec.hpp"

#include <gtest/gtest.h>

#include "zinnia/membership/account_limit_codec.hpp"
#include "zinnia/membership/member_codec.hpp"

using namespace zinnia;

namespace {

TEST(holder_notice_codec, decodes_what_it_encodes) {
  std::vector<holder_notice> notices;
  for (std::uint64_t i = 0; i < max_notices_per_datagram; ++i) {
    notices.push_back({~i, i << 40U, duration{static_cast<std::int64_t>(i) * 100}});
  }
  const auto datagram = encode_holder_notices(notices);
  EXPECT_LE(datagram.size(), 1'400U) << "one Ethernet frame";
  const auto decoded = decode_notices(datagram);
  ASSERT_TRUE(decoded) << decoded.last_error().describe();
  EXPECT_EQ(decoded->holders, notices);
  EXPECT_TRUE(decoded->crashes.empty());
  EXPECT_TRUE(decode_notices(encode_holder_notices({}))->holders.empty());
}

TEST(holder_notice_codec, rejects_malformed_datagrams) {
  const std::vector<holder_notice> notice{{1, 2, duration{3}}};
  const auto datagram = encode_holder_notices(notice);
  for (std::size_t size = 0; size < datagram.size(); ++size) {
    const auto decoded = decode_notices(datagram.substr(0, size));
    EXPECT_TRUE(!decoded || decoded->holders.size() <= 1) << size;
  }
  EXPECT_FALSE(decode_notices(""));
  EXPECT_FALSE(decode_notices(std::string(200, '\xff')));
}

TEST(crash_report_codec, decodes_what_it_encodes_and_rejects_what_is_out_of_range) {
  std::vector<crash_report> reports;
  for (std::uint64_t i = 0; i < max_notices_per_datagram; ++i) {
    reports.push_back({request_fingerprint{~i}, i << 40U, static_cast<int>(i % 4), static_cast<int>(i),
                       duration{static_cast<std::int64_t>(i)}, duration{86'400'000}});
  }
  const auto datagram = encode_crash_reports(reports);
  EXPECT_LE(datagram.size(), 1'400U) << "one Ethernet frame";
  const auto decoded = decode_notices(datagram);
  ASSERT_TRUE(decoded) << decoded.last_error().describe();
  EXPECT_EQ(decoded->crashes, reports);
  EXPECT_TRUE(decoded->holders.empty());
  for (std::size_t size = 0; size < datagram.size(); ++size) {
    const auto cut = decode_notices(datagram.substr(0, size));
    EXPECT_TRUE(!cut || cut->crashes.empty()) << size;
  }
  EXPECT_FALSE(decode_notices(encode_crash_reports(std::vector<crash_report>(max_notices_per_datagram + 1))));
  EXPECT_FALSE(decode_notices(encode_crash_reports(std::vector<crash_report>{{{}, 0, 4, 1, {}, {}}})));
}

TEST(account_limit_codec, decodes_what_it_encodes_and_rejects_what_is_out_of_range) {
  account_messages messages;
  for (std::uint64_t i = 0; i < max_account_messages_per_datagram; ++i) {
    messages.asks.push_back({~i, static_cast<std::uint32_t>(i), i << 40U});
    messages.grants.push_back({i, 1'000'000'000, ~i});
  }
  const auto datagram = encode_account_messages(messages);
  EXPECT_LE(datagram.size(), 1'400U) << "one Ethernet frame";
  const auto decoded = decode_notices(datagram);
  ASSERT_TRUE(decoded) << decoded.last_error().describe();
  EXPECT_EQ(decoded->accounts, messages);
  EXPECT_TRUE(decoded->holders.empty() && decoded->crashes.empty());
  messages.asks.push_back({});
  EXPECT_FALSE(decode_notices(encode_account_messages(messages)));
  EXPECT_FALSE(decode_notices(encode_account_messages({{}, {{1, 1'000'000'001, 2}}})));
}

TEST(member_codec, keeps_the_notice_port_and_accepts_entries_without_one) {
  member entry;
  entry.id = node_id{"n"};
  entry.peer_address = {"10.0.0.1", 70};
  entry.notice_port = 71;
  const auto document = encode_member(entry);
  EXPECT_EQ(decode_member("n", document)->notice_port, 71);
  auto earlier = document;
  earlier.replace(earlier.find("\"notices\""), 9, "\"unknown\"");
  EXPECT_EQ(decode_member("n", earlier)->notice_port, 0);
  auto wrong = document;
  wrong.replace(wrong.find(":71"), 3, ":99999");
  EXPECT_FALSE(decode_member("n", wrong));
}

TEST(member_codec, keeps_the_port_for_forwarded_requests_and_accepts_entries_without_one) {
  member entry;
  entry.id = node_id{"n"};
  entry.peer_address = {"10.0.0.1", 70};
  entry.forward_port = 72;
  const auto document = encode_member(entry);
  EXPECT_EQ(decode_member("n", document)->forward_port, 72);
  auto earlier = document;
  earlier.replace(earlier.find("\"forwards\""), 10, "\"unknown\"");
  EXPECT_EQ(decode_member("n", earlier)->forward_port, 0);
  auto wrong = document;
  wrong.replace(wrong.find(":72"), 3, ":-1");
  EXPECT_FALSE(decode_member("n", wrong));
}

}  // namespace
