// Encoding and checked decoding of heartbeats.
#include "zinnia/membership/heartbeat_codec.hpp"

#include "generated/beat_generated.h"

namespace zinnia {

std::string encode_heartbeat(const node_heartbeat& beat) {
  flatbuffers::FlatBufferBuilder builder;
  const auto node = builder.CreateString(beat.id.str());
  const auto incarnation = builder.CreateString(beat.incarnation.str());
  std::vector<std::int64_t> versions;
  for (const auto version : beat.latest_versions) {
    versions.push_back(version.count());
  }
  const auto changes = builder.CreateVector(versions);
  builder.Finish(membership::fbs::CreateBeat(builder, node, incarnation, beat.ready, beat.leaving,
                                             beat.load.cpu_milli, beat.load.link_kbit, beat.watching,
                                             changes));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

result<node_heartbeat> decode_heartbeat(std::string_view datagram) {
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(datagram.data());
  flatbuffers::Verifier verifier{bytes, datagram.size()};
  if (!membership::fbs::VerifyBeatBuffer(verifier)) {
    return error{reason::malformed_frame,
                 "datagram of " + std::to_string(datagram.size()) + " bytes is not a heartbeat", "peer"};
  }
  const auto* const table = membership::fbs::GetBeat(bytes);
  node_heartbeat beat;
  beat.id = node_id{table->node()->str()};
  beat.incarnation = incarnation_id{table->incarnation()->str()};
  beat.ready = table->ready();
  beat.leaving = table->leaving();
  beat.load = {table->cpu_milli(), table->link_kbit()};
  beat.watching = table->watching();
  if (table->changes() != nullptr) {
    for (const auto version : *table->changes()) {
      beat.latest_versions.emplace_back(version);
    }
  }
  return beat;
}

}  // namespace zinnia
