// Heartbeat encoding, and decoding with verification of the buffer.
#include "zinnia/membership/heartbeat_codec.hpp"

#include "generated/beat_generated.h"

namespace zinnia {

std::string encode_heartbeat(const node_heartbeat& heartbeat) {
  flatbuffers::FlatBufferBuilder builder;
  const auto node = builder.CreateString(heartbeat.id.str());
  const auto incarnation = builder.CreateString(heartbeat.incarnation.str());
  std::vector<std::int64_t> versions;
  for (const auto version : heartbeat.latest_versions) {
    versions.push_back(version.count());
  }
  const auto changes = builder.CreateVector(versions);
  builder.Finish(membership::fbs::CreateBeat(
      builder, node, incarnation, heartbeat.ready, heartbeat.leaving, heartbeat.load.cpu_milli,
      heartbeat.load.link_kbit, heartbeat.watching, changes, heartbeat.state.configuration,
      heartbeat.state.retained_digest, !heartbeat.reaches_backends, !heartbeat.is_confirmed));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

result<node_heartbeat> decode_heartbeat(std::string_view datagram) {
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(datagram.data());
  flatbuffers::Verifier verifier{bytes, datagram.size()};
  if (!membership::fbs::VerifyBeatBuffer(verifier)) {
    return error{reason::malformed_frame,
                 "datagram of " + std::to_string(datagram.size()) + " bytes is not a heartbeat", "peer"};
  }
  const auto* const decoded = membership::fbs::GetBeat(bytes);
  node_heartbeat heartbeat;
  heartbeat.id = node_id{decoded->node()->str()};
  heartbeat.incarnation = incarnation_id{decoded->incarnation()->str()};
  heartbeat.ready = decoded->ready();
  heartbeat.leaving = decoded->leaving();
  heartbeat.load = {decoded->cpu_milli(), decoded->link_kbit()};
  heartbeat.watching = decoded->watching();
  heartbeat.state = {decoded->configuration(), decoded->retained()};
  heartbeat.reaches_backends = !decoded->lost_backends();
  heartbeat.is_confirmed = !decoded->unconfirmed();
  if (decoded->changes() != nullptr) {
    for (const auto version : *decoded->changes()) {
      heartbeat.latest_versions.emplace_back(version);
    }
  }
  return heartbeat;
}

}  // namespace zinnia
