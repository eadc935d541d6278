// Relayed changes are encoded with FlatBuffers (news.fbs), versions as decimal numbers.
#include "zinnia/store/change_relay_codec.hpp"

#include <charconv>

#include "generated/news_generated.h"

namespace zinnia {
namespace impl {
namespace {

/// The least that an encoded change or kind occupies: its offset in the vector and its table.
constexpr std::size_t min_encoded_bytes = 8;

/// The age that stands for no confirmation, also in messages without the field.
constexpr std::int64_t unconfirmed_age_ms = -1;

/// Returns true if the values fit into the message. A message can refer to the same bytes many times, and
/// what is decoded from it must not grow with that.
[[nodiscard]] bool fits(const store::fbs::News& news, std::size_t message_bytes) {
  std::size_t needed = 0;
  for (const auto* const kind : *news.kinds()) {
    needed += min_encoded_bytes;
    if (kind->changes() == nullptr) {
      continue;
    }
    for (const auto* const change : *kind->changes()) {
      needed += min_encoded_bytes + change->name()->size() +
                (change->document() == nullptr ? 0 : change->document()->size());
      if (needed > message_bytes) {
        return false;
      }
    }
  }
  return needed <= message_bytes;
}

}  // namespace
}  // namespace impl

std::string encode_relayed_changes(const std::vector<feed_reply>& kinds,
                                   const std::optional<relayed_confirmation>& confirmation) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<store::fbs::Kind>> encoded_kinds;
  for (const auto& kind : kinds) {
    std::vector<flatbuffers::Offset<store::fbs::Change>> changes;
    for (const auto& change : kind.changes) {
      const auto& object = change.object;
      const auto name = builder.CreateString(object.name);
      const auto document = builder.CreateString(change.deleted ? "" : object.document);
      changes.push_back(store::fbs::CreateChange(builder, name, object.version.count(), change.deleted,
                                                 object.deleting, document));
    }
    const auto changes_vector = builder.CreateVector(changes);
    encoded_kinds.push_back(store::fbs::CreateKind(builder, kind.status != feed_status::ok,
                                                   kind.store_version.count(), changes_vector));
  }
  const auto kinds_vector = builder.CreateVector(encoded_kinds);
  builder.Finish(store::fbs::CreateNews(builder, kinds_vector,
                                        confirmation ? confirmation->age.ms : impl::unconfirmed_age_ms,
                                        confirmation ? confirmation->version.count() : 0));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

result<std::vector<feed_reply>> decode_relayed_changes(std::string_view bytes) {
  const auto* const data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier{data, bytes.size()};
  if (!store::fbs::VerifyNewsBuffer(verifier) || !impl::fits(*store::fbs::GetNews(data), bytes.size())) {
    return error{reason::malformed_frame,
                 std::to_string(bytes.size()) + " bytes are not valid relayed changes", "peer"};
  }
  std::vector<feed_reply> kinds;
  for (const auto* const kind : *store::fbs::GetNews(data)->kinds()) {
    feed_reply reply;
    reply.status = kind->gone() ? feed_status::history_gone : feed_status::ok;
    reply.store_version = object_version{kind->newest()};
    if (kind->changes() != nullptr) {
      for (const auto* const change : *kind->changes()) {
        stored_object object{change->name()->str(), object_version{change->version()},
                             change->document() == nullptr ? "" : change->document()->str(),
                             change->deleting()};
        reply.changes.push_back({std::move(object), change->deleted()});
      }
    }
    kinds.push_back(std::move(reply));
  }
  return kinds;
}

std::optional<relayed_confirmation> decode_relayed_confirmation(std::string_view bytes) {
  const auto* const data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier{data, bytes.size()};
  if (!store::fbs::VerifyNewsBuffer(verifier)) {
    return std::nullopt;
  }
  const auto* const news = store::fbs::GetNews(data);
  if (news->confirmed_age_ms() < 0) {
    return std::nullopt;
  }
  return relayed_confirmation{config_version{news->configuration_number()}, {news->confirmed_age_ms()}};
}

std::string encode_versions(const std::vector<object_version>& versions) {
  std::string text;
  for (const auto version : versions) {
    text += (text.empty() ? "" : ",") + std::to_string(version.count());
  }
  return text;
}

std::optional<std::vector<object_version>> decode_versions(std::string_view text) {
  std::vector<object_version> versions;
  const char* position = text.data();
  const char* const end = text.data() + text.size();
  while (true) {
    std::int64_t value = 0;
    const auto parsed = std::from_chars(position, end, value);
    if (parsed.ec != std::errc{} || value < 0) {
      return std::nullopt;
    }
    versions.emplace_back(value);
    if (parsed.ptr == end) {
      return versions;
    }
    if (*parsed.ptr != ',') {
      return std::nullopt;
    }
    position = parsed.ptr + 1;
  }
}

}  // namespace zinnia
