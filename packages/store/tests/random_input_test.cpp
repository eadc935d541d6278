// Damaged relayed changes and relay queries: an error, or no more than the input holds.
#include <gtest/gtest.h>

#include "generated/news_generated.h"
#include "standins/byte_mutator.hpp"
#include "zinnia/store/change_relay_codec.hpp"

namespace zinnia {
namespace {

using standins::byte_mutator;

constexpr int input_count = 30'000;

[[nodiscard]] std::size_t decoded_size(const std::vector<feed_reply>& kinds) {
  std::size_t size = 0;
  for (const auto& kind : kinds) {
    for (const auto& change : kind.changes) {
      size += change.object.name.size() + change.object.document.size();
    }
  }
  return size;
}

TEST(random_input, relayed_changes_give_an_error_or_no_more_than_they_hold) {
  feed_reply kind;
  kind.status = feed_status::ok;
  kind.store_version = object_version{77};
  kind.changes = {{{"a", object_version{70}, R"({"service":"desk"})", false}, false},
                  {{"b", object_version{71}, "", true}, true}};
  feed_reply gone;
  gone.status = feed_status::history_gone;
  byte_mutator inputs{{encode_relayed_changes({kind, gone}), encode_relayed_changes({gone, kind, kind})}, 1};
  for (int i = 0; i < input_count; ++i) {
    const auto bytes = inputs.next();
    const auto decoded = decode_relayed_changes(bytes);
    if (!decoded) {
      EXPECT_EQ(decoded.last_error().code, reason::malformed_frame) << i;
      continue;
    }
    EXPECT_LE(decoded_size(*decoded), bytes.size()) << i;
  }
}

/// FlatBuffers may refer to the same bytes many times: 100 kB would become 100 MB.
TEST(random_input, relayed_changes_that_share_a_document_are_malformed) {
  constexpr int change_count = 1'000;
  flatbuffers::FlatBufferBuilder builder;
  const auto name = builder.CreateString("a");
  const auto document = builder.CreateString(std::string(100'000, 'x'));
  std::vector<flatbuffers::Offset<store::fbs::Change>> changes;
  for (int i = 0; i < change_count; ++i) {
    changes.push_back(store::fbs::CreateChange(builder, name, 1, false, false, document));
  }
  const auto kind = store::fbs::CreateKind(builder, false, 1, builder.CreateVector(changes));
  builder.Finish(store::fbs::CreateNews(
      builder, builder.CreateVector(std::vector<flatbuffers::Offset<store::fbs::Kind>>{kind})));
  const std::string bytes{reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
  const auto decoded = decode_relayed_changes(bytes);
  EXPECT_FALSE(decoded) << bytes.size() << " bytes became " << decoded_size(*decoded);
}

/// A kind that is listed many times multiplies its changes.
TEST(random_input, relayed_changes_that_share_a_kind_are_malformed) {
  constexpr int count = 1'000;
  flatbuffers::FlatBufferBuilder builder;
  const auto change = store::fbs::CreateChange(builder, builder.CreateString(""), 1);
  const auto kind = store::fbs::CreateKind(
      builder, false, 1,
      builder.CreateVector(std::vector<flatbuffers::Offset<store::fbs::Change>>(count, change)));
  builder.Finish(store::fbs::CreateNews(
      builder, builder.CreateVector(std::vector<flatbuffers::Offset<store::fbs::Kind>>(count, kind))));
  const std::string bytes{reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
  const auto decoded = decode_relayed_changes(bytes);
  EXPECT_FALSE(decoded) << bytes.size() << " bytes became " << decoded->size() << " kinds with "
                        << decoded->front().changes.size() << " changes each";
}

TEST(random_input, relay_queries_give_no_versions_or_ones_that_can_be_written_again) {
  byte_mutator inputs{{"3,0,12", "1", "9223372036854775807,5"}, 2};
  for (int i = 0; i < input_count; ++i) {
    const auto text = inputs.next();
    const auto versions = decode_versions(text);
    if (versions) {
      EXPECT_EQ(decode_versions(encode_versions(*versions)), versions) << text;
    }
  }
}

}  // namespace
}  // namespace zinnia
