// Holder notice encoding, and decoding with verification of the buffer.
#include "zinnia/membership/holder_notice_codec.hpp"

#include <algorithm>

#include "generated/notices_generated.h"

namespace zinnia {
namespace impl {
namespace {

constexpr std::int64_t max_load_ms = 60'000;

}  // namespace
}  // namespace impl

std::string encode_holder_notices(std::span<const holder_notice> notices) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<membership::fbs::HolderNotice>> items;
  for (const auto& notice : notices) {
    const auto loads_for_ms = std::clamp<std::int64_t>(notice.loads_for.ms, 0, impl::max_load_ms);
    items.push_back(membership::fbs::CreateHolderNotice(builder, notice.object, notice.backend,
                                                        static_cast<std::uint32_t>(loads_for_ms)));
  }
  builder.Finish(membership::fbs::CreateHolderNotices(builder, builder.CreateVector(items)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

result<std::vector<holder_notice>> decode_holder_notices(std::string_view datagram) {
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(datagram.data());
  const auto malformed = [&](const char* why) {
    return error{reason::malformed_frame, "datagram of " + std::to_string(datagram.size()) + " bytes: " + why,
                 "peer"};
  };
  flatbuffers::Verifier verifier{bytes, datagram.size()};
  if (!membership::fbs::VerifyHolderNoticesBuffer(verifier)) {
    return malformed("not holder notices");
  }
  std::vector<holder_notice> notices;
  const auto* const items = membership::fbs::GetHolderNotices(bytes)->items();
  if (items == nullptr) {
    return notices;
  }
  if (items->size() > max_notices_per_datagram) {
    return malformed("too many holder notices");
  }
  for (const auto* const item : *items) {
    if (item->loads_for_ms() > impl::max_load_ms) {
      return malformed("loads_for_ms; allowed: 0 to 60000");
    }
    notices.push_back({item->object(), item->backend(), duration{item->loads_for_ms()}});
  }
  return notices;
}

}  // namespace zinnia
