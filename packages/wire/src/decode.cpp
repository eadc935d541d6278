// FlatBuffers to plain types. Every frame is verified before it is read.
#include "generated/frames_generated.h"
#include "zinnia/wire/frames.hpp"

namespace zinnia {
namespace impl {
namespace {

namespace fbs = wire::fbs;

constexpr unsigned deepest_nesting = 16;
constexpr unsigned most_tables = 1'000'000;

template <class T>
[[nodiscard]] header_list unpack_headers(const T& message) {
  header_list headers;
  if (message.headers() != nullptr) {
    for (const auto* const field : *message.headers()) {
      headers.emplace_back(field->name()->str(), field->value()->str());
    }
  }
  return headers;
}

template <class T>
[[nodiscard]] std::string unpack_body(const T& message) {
  if (message.body() == nullptr) {
    return {};
  }
  return {reinterpret_cast<const char*>(message.body()->data()), message.body()->size()};
}

/// Enumerations from the wire may be out of range; the worst case is assumed for a verdict.
[[nodiscard]] verdict to_verdict(std::uint8_t value) {
  return value <= static_cast<std::uint8_t>(verdict::ran) ? static_cast<verdict>(value)
                                                          : verdict::may_have_run;
}

[[nodiscard]] reason to_reason(std::uint8_t value) {
  return value < reason_count ? static_cast<reason>(value) : reason::version_mismatch;
}

[[nodiscard]] hello unpack(const fbs::Hello& message) {
  return {message.protocol(), node_id{message.node()->str()},
          message.role() == 0 ? link_role::control : link_role::traffic};
}

[[nodiscard]] heartbeat unpack(const fbs::Heartbeat& message) {
  heartbeat plain;
  plain.sequence = message.sequence();
  plain.incarnation = incarnation_id{message.incarnation()->str()};
  plain.region = region_id{message.region()->str()};
  plain.leaving = message.leaving();
  plain.deferred_journal = message.deferred_journal();
  if (message.loads() != nullptr) {
    for (const auto* const load : *message.loads()) {
      plain.loads.push_back({service_id{load->service()->str()}, load->slots_total(), load->slots_free(),
                             load->queued(), load->service_time_ms()});
    }
  }
  if (message.known() != nullptr) {
    for (const auto* const known : *message.known()) {
      plain.known.push_back({known->key()->str(), object_version{known->version()}});
    }
  }
  return plain;
}

[[nodiscard]] exchange_request unpack(const fbs::Exchange& message) {
  exchange_request plain;
  plain.id = request_id{message.request_id()->str()};
  plain.service = service_id{message.service()->str()};
  plain.stage = message.stage() == 0 ? exchange_stage::key_home : exchange_stage::holder;
  plain.method = message.method()->str();
  plain.path = message.path()->str();
  plain.key = idempotency_key{message.key()->str()};
  plain.deadline_left = duration{message.deadline_left_ms()};
  plain.origin_region = region_id{message.origin_region()->str()};
  plain.from_elsewhere = message.from_elsewhere();
  plain.may_queue = message.may_queue();
  plain.headers = unpack_headers(message);
  plain.body = unpack_body(message);
  return plain;
}

[[nodiscard]] exchange_answer unpack(const fbs::Answer& message) {
  exchange_answer plain;
  plain.id = request_id{message.request_id()->str()};
  plain.status = message.status();
  plain.outcome = to_verdict(message.verdict());
  plain.why = to_reason(message.reason());
  plain.retry_after = duration{message.retry_after_ms()};
  plain.headers = unpack_headers(message);
  plain.body = unpack_body(message);
  plain.key_known = message.key_known();
  if (message.attempts() != nullptr) {
    for (const auto* const attempt : *message.attempts()) {
      plain.attempts.push_back({node_id{attempt->node()->str()}, upstream_id{attempt->upstream()->str()},
                                to_verdict(attempt->verdict()), to_reason(attempt->reason()),
                                attempt->started_unix_ms(), duration{attempt->took_ms()}});
    }
  }
  return plain;
}

[[nodiscard]] result<wire_message> unpack(const fbs::Frame& frame) {
  switch (frame.message_type()) {
    case fbs::Message_Hello:
      return wire_message{unpack(*frame.message_as_Hello())};
    case fbs::Message_Heartbeat:
      return wire_message{peer_message{unpack(*frame.message_as_Heartbeat())}};
    case fbs::Message_Promise: {
      const auto& promise = *frame.message_as_Promise();
      return wire_message{
          peer_message{heir_promise{promise.sequence(), incarnation_id{promise.incarnation()->str()}}}};
    }
    case fbs::Message_ObjectRequest:
      return wire_message{peer_message{object_request{frame.message_as_ObjectRequest()->key()->str()}}};
    case fbs::Message_ObjectPush: {
      const auto& push = *frame.message_as_ObjectPush();
      return wire_message{
          peer_message{object_push{push.key()->str(), object_version{push.version()}, push.value()->str()}}};
    }
    case fbs::Message_Exchange:
      return wire_message{unpack(*frame.message_as_Exchange())};
    case fbs::Message_Answer:
      return wire_message{unpack(*frame.message_as_Answer())};
    default:
      return error{reason::malformed_frame, "frame of an unknown type", ""};
  }
}

}  // namespace
}  // namespace impl

result<wire_message> decode_frame_body(const std::string& body) {
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(body.data());
  flatbuffers::Verifier verifier{bytes, body.size(), impl::deepest_nesting, impl::most_tables};
  if (!impl::fbs::VerifyFrameBuffer(verifier)) {
    return error{reason::malformed_frame, "frame is not valid", ""};
  }
  return impl::unpack(*impl::fbs::GetFrame(bytes));
}

}  // namespace zinnia
