// Retained state is encoded with FlatBuffers (retained.fbs).
#include "zinnia/store/retained_state.hpp"

#include <algorithm>

#include "generated/retained_generated.h"
#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Upper limit on the time for which another node may ask to retain a change.
constexpr duration max_retention{600'000};

[[nodiscard]] std::uint64_t hash_of(const retained_change& retained) {
  const auto& object = retained.change.object;
  const bool deleted = retained.change.deleted;
  return stable_hash(std::to_string(retained.kind) + (deleted ? '-' : '+') + object.name + '\n' +
                     object.document);
}

[[nodiscard]] flatbuffers::Offset<store::fbs::Retained> encode(flatbuffers::FlatBufferBuilder& builder,
                                                               const retained_change& retained,
                                                               time_point now) {
  const auto& object = retained.change.object;
  const auto name = builder.CreateString(object.name);
  const auto document = builder.CreateString(object.document);
  return store::fbs::CreateRetained(builder, static_cast<std::uint8_t>(retained.kind), name,
                                    object.version.count(), retained.change.deleted, document,
                                    std::max<std::int64_t>((retained.until - now).ms, 0));
}

[[nodiscard]] retained_change decode(const store::fbs::Retained& encoded, time_point now) {
  retained_change decoded;
  decoded.kind = encoded.kind();
  decoded.change.object.name = encoded.name()->str();
  decoded.change.object.version = object_version{encoded.version()};
  decoded.change.object.document = encoded.document() == nullptr ? "" : encoded.document()->str();
  decoded.change.deleted = encoded.deleted();
  decoded.until = now + std::clamp(duration{encoded.holds_for_ms()}, duration{0}, max_retention);
  return decoded;
}

}  // namespace
}  // namespace impl

std::uint64_t digest_of(const std::vector<retained_change>& changes) {
  std::uint64_t digest = 0;
  for (const auto& retained : changes) {
    // Independent of the order.
    digest += impl::hash_of(retained);
  }
  return changes.empty() ? 0 : std::max<std::uint64_t>(digest, 1);
}

std::string encode_retained_state(const retained_state& state, std::uint64_t known_configuration,
                                  time_point now) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<store::fbs::Retained>> changes;
  for (const auto& retained : state.changes) {
    changes.push_back(impl::encode(builder, retained, now));
  }
  std::vector<std::int64_t> copies;
  for (const auto version : state.copy_versions) {
    copies.push_back(version.count());
  }
  flatbuffers::Offset<store::fbs::Retained> configuration;
  if (state.configuration && state.configuration_number > known_configuration) {
    configuration = impl::encode(builder, {0, {*state.configuration, false}, now}, now);
  }
  const auto copies_vector = builder.CreateVector(copies);
  const auto changes_vector = builder.CreateVector(changes);
  builder.Finish(store::fbs::CreateState(builder, state.store_version.count(), state.configuration_number,
                                         configuration, copies_vector, changes_vector));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

result<retained_state> decode_retained_state(std::string_view bytes, time_point now) {
  const auto* const data = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier{data, bytes.size()};
  if (!store::fbs::VerifyStateBuffer(verifier)) {
    return error{reason::malformed_frame,
                 std::to_string(bytes.size()) + " bytes are not a node's retained state", "peer"};
  }
  const auto* const encoded = store::fbs::GetState(data);
  retained_state state;
  state.store_version = object_version{encoded->store_version()};
  state.configuration_number = encoded->configuration_number();
  if (encoded->configuration() != nullptr) {
    state.configuration = impl::decode(*encoded->configuration(), now).change.object;
  }
  if (encoded->copies() != nullptr) {
    for (const auto version : *encoded->copies()) {
      state.copy_versions.emplace_back(version);
    }
  }
  if (encoded->retained() != nullptr) {
    for (const auto* const retained : *encoded->retained()) {
      state.changes.push_back(impl::decode(*retained, now));
    }
  }
  return state;
}

}  // namespace zinnia
