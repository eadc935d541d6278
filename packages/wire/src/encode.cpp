// Plain types to FlatBuffers.
#include <cstring>

#include "generated/frames_generated.h"
#include "zinnia/wire/frames.hpp"

namespace zinnia {
namespace impl {
namespace {

namespace fbs = wire::fbs;
using builder = flatbuffers::FlatBufferBuilder;
using union_offset = std::pair<fbs::Message, flatbuffers::Offset<void>>;

constexpr std::uint32_t frame_magic = 0x31464e5aU;  // "ZNF1"

[[nodiscard]] auto pack_headers(builder& b, const header_list& headers) {
  std::vector<flatbuffers::Offset<fbs::Field>> fields;
  for (const auto& [name, value] : headers) {
    fields.push_back(fbs::CreateField(b, b.CreateString(name), b.CreateString(value)));
  }
  return b.CreateVector(fields);
}

[[nodiscard]] auto pack_body(builder& b, const std::string& body) {
  std::uint8_t* target = nullptr;
  const auto offset = b.CreateUninitializedVector(body.size(), &target);
  std::memcpy(target, body.data(), body.size());
  return flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>>{offset};
}

[[nodiscard]] union_offset pack(builder& b, const hello& message) {
  return {fbs::Message_Hello, fbs::CreateHello(b, message.protocol, b.CreateString(message.node.str()),
                                               static_cast<std::uint8_t>(message.role))
                                  .Union()};
}

[[nodiscard]] union_offset pack(builder& b, const heartbeat& message) {
  std::vector<flatbuffers::Offset<fbs::Load>> loads;
  for (const auto& load : message.loads) {
    loads.push_back(fbs::CreateLoad(b, b.CreateString(load.service.str()), load.slots_total, load.slots_free,
                                    load.queued, load.service_time_ms));
  }
  std::vector<flatbuffers::Offset<fbs::Known>> known;
  for (const auto& object : message.known) {
    known.push_back(fbs::CreateKnown(b, b.CreateString(object.key), object.version.count()));
  }
  const auto incarnation = b.CreateString(message.incarnation.str());
  const auto region = b.CreateString(message.region.str());
  const auto load_vector = b.CreateVector(loads);
  const auto known_vector = b.CreateVector(known);
  return {fbs::Message_Heartbeat,
          fbs::CreateHeartbeat(b, message.sequence, incarnation, region, message.leaving,
                               message.deferred_journal, load_vector, known_vector)
              .Union()};
}

[[nodiscard]] union_offset pack(builder& b, const heir_promise& message) {
  return {fbs::Message_Promise,
          fbs::CreatePromise(b, message.sequence, b.CreateString(message.incarnation.str())).Union()};
}

[[nodiscard]] union_offset pack(builder& b, const object_request& message) {
  return {fbs::Message_ObjectRequest, fbs::CreateObjectRequest(b, b.CreateString(message.key)).Union()};
}

[[nodiscard]] union_offset pack(builder& b, const object_push& message) {
  const auto key = b.CreateString(message.key);
  const auto value = b.CreateString(message.value);
  return {fbs::Message_ObjectPush, fbs::CreateObjectPush(b, key, message.version.count(), value).Union()};
}

[[nodiscard]] union_offset pack(builder& b, const peer_message& message) {
  return std::visit([&b](const auto& inner) { return pack(b, inner); }, message);
}

[[nodiscard]] union_offset pack(builder& b, const exchange_request& message) {
  const auto id = b.CreateString(message.id.str());
  const auto service = b.CreateString(message.service.str());
  const auto method = b.CreateString(message.method);
  const auto path = b.CreateString(message.path);
  const auto key = b.CreateString(message.key.str());
  const auto origin = b.CreateString(message.origin_region.str());
  const auto headers = pack_headers(b, message.headers);
  const auto body = pack_body(b, message.body);
  return {fbs::Message_Exchange, fbs::CreateExchange(b, id, service, static_cast<std::uint8_t>(message.stage),
                                                     method, path, key, message.deadline_left.ms, origin,
                                                     message.from_elsewhere, headers, body, message.may_queue)
                                     .Union()};
}

[[nodiscard]] union_offset pack(builder& b, const exchange_answer& message) {
  std::vector<flatbuffers::Offset<fbs::Attempt>> attempts;
  for (const auto& attempt : message.attempts) {
    attempts.push_back(
        fbs::CreateAttempt(b, b.CreateString(attempt.node.str()), b.CreateString(attempt.upstream.str()),
                           static_cast<std::uint8_t>(attempt.outcome), static_cast<std::uint8_t>(attempt.why),
                           attempt.started_unix_ms, attempt.took.ms));
  }
  const auto id = b.CreateString(message.id.str());
  const auto headers = pack_headers(b, message.headers);
  const auto body = pack_body(b, message.body);
  const auto attempt_vector = b.CreateVector(attempts);
  return {
      fbs::Message_Answer,
      fbs::CreateAnswer(b, id, static_cast<std::uint16_t>(message.status),
                        static_cast<std::uint8_t>(message.outcome), static_cast<std::uint8_t>(message.why),
                        message.retry_after.ms, headers, body, attempt_vector, message.key_known)
          .Union()};
}

void put_u32(std::string& into, std::uint32_t value) {
  for (unsigned shift = 0; shift < 32; shift += 8) {
    into += static_cast<char>((value >> shift) & 0xffU);
  }
}

[[nodiscard]] std::uint32_t get_u32(const std::string& from, std::size_t at) {
  std::uint32_t value = 0;
  for (unsigned i = 0; i < 4; ++i) {
    value |= std::uint32_t{static_cast<unsigned char>(from[at + i])} << (8 * i);
  }
  return value;
}

}  // namespace
}  // namespace impl

std::string encode_frame(const wire_message& message) {
  impl::builder b;
  const auto [type, offset] = std::visit([&b](const auto& inner) { return impl::pack(b, inner); }, message);
  b.Finish(impl::fbs::CreateFrame(b, type, offset));
  std::string frame;
  frame.reserve(frame_header_bytes + b.GetSize());
  impl::put_u32(frame, impl::frame_magic);
  impl::put_u32(frame, b.GetSize());
  frame.append(reinterpret_cast<const char*>(b.GetBufferPointer()), b.GetSize());
  return frame;
}

result<std::size_t> decode_frame_header(const std::string& header) {
  if (header.size() < frame_header_bytes || impl::get_u32(header, 0) != impl::frame_magic) {
    return error{reason::malformed_frame, "frame does not begin with the magic", ""};
  }
  const std::size_t length = impl::get_u32(header, 4);
  if (length == 0 || length > largest_frame_bytes) {
    return error{
        reason::frame_too_large,
        "frame of " + std::to_string(length) + " bytes; allowed: 1 to " + std::to_string(largest_frame_bytes),
        ""};
  }
  return length;
}

}  // namespace zinnia
