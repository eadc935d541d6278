// Frames survive the round trip, and nothing malformed gets through or crashes.
#include <gtest/gtest.h>

#include <random>

#include "zinnia/wire/frames.hpp"

namespace zinnia {
namespace {

[[nodiscard]] exchange_request sample_request() {
  exchange_request request;
  request.id = request_id{"klang-1~18f~1"};
  request.service = service_id{"crewdesk"};
  request.stage = exchange_stage::key_home;
  request.method = "POST";
  request.path = "/bookings?x=1";
  request.key = idempotency_key{"klang.18f.3"};
  request.deadline_left = duration{1234};
  request.origin_region = region_id{"klang"};
  request.from_elsewhere = true;
  request.headers = {{"content-type", "text/plain"}, {"x", ""}};
  request.body = std::string("a\0b", 3);
  return request;
}

[[nodiscard]] std::string body_of(const wire_message& message) {
  return encode_frame(message).substr(frame_header_bytes);
}

TEST(frames, exchange_survives) {
  const auto sent = sample_request();
  const auto frame = encode_frame(sent);
  const auto length = decode_frame_header(frame.substr(0, frame_header_bytes));
  ASSERT_TRUE(length);
  EXPECT_EQ(*length, frame.size() - frame_header_bytes);
  const auto read = decode_frame_body(frame.substr(frame_header_bytes));
  ASSERT_TRUE(read);
  const auto& got = std::get<exchange_request>(*read);
  EXPECT_EQ(got.id, sent.id);
  EXPECT_EQ(got.stage, sent.stage);
  EXPECT_EQ(got.key, sent.key);
  EXPECT_EQ(got.deadline_left, sent.deadline_left);
  EXPECT_EQ(got.headers, sent.headers);
  EXPECT_EQ(got.body, sent.body);
  EXPECT_TRUE(got.from_elsewhere);
}

TEST(frames, answer_survives) {
  exchange_answer sent;
  sent.id = request_id{"a~1~1"};
  sent.status = 503;
  sent.outcome = verdict::may_have_run;
  sent.why = reason::backend_timeout;
  sent.retry_after = duration{7};
  sent.key_known = true;
  sent.attempts.push_back({node_id{"n"}, upstream_id{"u:1"}, verdict::ran, reason::none, 5, duration{6}});
  const auto got = std::get<exchange_answer>(*decode_frame_body(body_of(sent)));
  EXPECT_EQ(got.outcome, sent.outcome);
  EXPECT_EQ(got.why, sent.why);
  EXPECT_TRUE(got.key_known);
  ASSERT_EQ(got.attempts.size(), 1);
  EXPECT_EQ(got.attempts[0].upstream, upstream_id{"u:1"});
  EXPECT_EQ(got.attempts[0].took, duration{6});
}

TEST(frames, control_messages_survive) {
  heartbeat beat;
  beat.sequence = 9;
  beat.incarnation = incarnation_id{"i"};
  beat.region = region_id{"r"};
  beat.leaving = true;
  beat.deferred_journal = true;
  beat.loads.push_back({service_id{"s"}, 12, 3, 1, 20});
  beat.known.push_back({"control/settings", object_version{4}});
  const auto got =
      std::get<heartbeat>(std::get<peer_message>(*decode_frame_body(body_of(peer_message{beat}))));
  EXPECT_EQ(got.sequence, 9U);
  EXPECT_TRUE(got.deferred_journal);
  ASSERT_EQ(got.loads.size(), 1);
  EXPECT_EQ(got.loads[0].slots_free, 3);
  ASSERT_EQ(got.known.size(), 1);
  EXPECT_EQ(got.known[0].version, object_version{4});
  const peer_message push{object_push{"k", object_version{3}, "v"}};
  EXPECT_EQ(std::get<object_push>(std::get<peer_message>(*decode_frame_body(body_of(push)))).value, "v");
}

TEST(frames, headers_out_of_bounds_are_refused) {
  EXPECT_EQ(decode_frame_header("GET / HT").last_error().code, reason::malformed_frame);
  EXPECT_EQ(decode_frame_header("ZNF1").last_error().code, reason::malformed_frame);
  EXPECT_EQ(decode_frame_header(std::string("ZNF1\0\0\0\0", 8)).last_error().code, reason::frame_too_large);
  EXPECT_EQ(decode_frame_header("ZNF1\xff\xff\xff\xff").last_error().code, reason::frame_too_large);
}

TEST(frames, damaged_frames_never_crash) {
  constexpr int rounds = 20'000;
  std::mt19937_64 random{7};
  const auto whole = body_of(sample_request());
  int refused = 0;
  for (int round = 0; round < rounds; ++round) {
    auto damaged = whole;
    const auto flips = 1 + random() % 8;
    for (std::uint64_t flip = 0; flip < flips; ++flip) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    damaged.resize(damaged.size() - random() % 3);
    refused += decode_frame_body(damaged) ? 0 : 1;
  }
  EXPECT_GT(refused, 0);
  EXPECT_FALSE(decode_frame_body(""));
}

}  // namespace
}  // namespace zinnia
