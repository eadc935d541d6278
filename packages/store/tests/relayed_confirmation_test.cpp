// What a relay states of its own proof that its configuration is current, and messages of builds without it.
#include <gtest/gtest.h>

#include <random>

#include "generated/news_generated.h"
#include "zinnia/store/change_relay_buffer.hpp"
#include "zinnia/store/change_relay_codec.hpp"

using namespace zinnia;

namespace {

constexpr time_point now{10'000};
constexpr relayed_confirmation stated{config_version{0x123456789ABCDEF0}, {1234}};

[[nodiscard]] std::vector<feed_reply> make_kinds() {
  feed_reply kind;
  kind.status = feed_status::ok;
  kind.store_version = object_version{77};
  return {kind, kind};
}

TEST(relayed_confirmation_test, round_trips) {
  const auto bytes = encode_relayed_changes(make_kinds(), stated);
  EXPECT_EQ(decode_relayed_confirmation(bytes), stated);
  EXPECT_EQ(decode_relayed_changes(bytes)->size(), 2U);
  const auto fresh = relayed_confirmation{config_version{1}, {0}};
  EXPECT_EQ(decode_relayed_confirmation(encode_relayed_changes(make_kinds(), fresh)), fresh);
}

// Without the setting, nodes of other builds must see the bytes that they see today.
TEST(relayed_confirmation_test, is_not_written_without_a_proof) {
  const auto bytes = encode_relayed_changes(make_kinds());
  EXPECT_FALSE(decode_relayed_confirmation(bytes));
  const auto* const news = flatbuffers::GetRoot<flatbuffers::Table>(bytes.data());
  EXPECT_EQ(news->GetOptionalFieldOffset(store::fbs::News::VT_CONFIRMED_AGE_MS), 0);
  EXPECT_EQ(news->GetOptionalFieldOffset(store::fbs::News::VT_CONFIGURATION_NUMBER), 0);
}

// A message of an older build has a table of one field.
TEST(relayed_confirmation_test, of_an_older_build_proves_nothing) {
  flatbuffers::FlatBufferBuilder builder;
  const auto kind = store::fbs::CreateKind(builder, false, 77);
  const auto kinds = builder.CreateVector(&kind, 1);
  const auto start = builder.StartTable();
  builder.AddOffset(store::fbs::News::VT_KINDS, kinds);
  builder.Finish(flatbuffers::Offset<store::fbs::News>(builder.EndTable(start)));
  const std::string bytes{reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
  EXPECT_TRUE(decode_relayed_changes(bytes));
  EXPECT_FALSE(decode_relayed_confirmation(bytes));
}

// An age below zero would be a proof from the future.
TEST(relayed_confirmation_test, never_has_a_negative_age) {
  auto bytes = encode_relayed_changes(make_kinds(), relayed_confirmation{config_version{1}, {-2}});
  EXPECT_FALSE(decode_relayed_confirmation(bytes));
  bytes = encode_relayed_changes(make_kinds(), stated);
  std::mt19937 random{1};
  for (int i = 0; i < 20'000; ++i) {
    auto damaged = bytes.substr(0, random() % (bytes.size() + 1));
    for (auto flips = random() % 4; flips > 0 && !damaged.empty(); --flips) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    if (const auto decoded = decode_relayed_confirmation(damaged)) {
      EXPECT_GE(decoded->age, duration{0});
    }
  }
}

TEST(relayed_confirmation_test, states_the_age_at_the_moment_of_the_answer) {
  change_relay_buffer buffer{1};
  buffer.record_changes(0, {}, object_version{5}, now);
  EXPECT_FALSE(buffer.answer_to({object_version{5}}, now)->confirmation);
  buffer.set_confirmation(confirmed_configuration{config_version{7}, now});
  const auto answer = buffer.answer_to({object_version{5}}, now + duration{800});
  EXPECT_EQ(answer->confirmation, (relayed_confirmation{config_version{7}, {800}}));
  EXPECT_EQ(answer->kinds.at(0).status, feed_status::ok);
  EXPECT_FALSE(buffer.answer_to({}, now)) << "another number of kinds";
  buffer.set_confirmation(std::nullopt);
  EXPECT_FALSE(buffer.answer_to({object_version{5}}, now)->confirmation);
}

}  // namespace
