// Encoding of notices and reports, and decoding with verification of the buffer.
#include "zinnia/membership/holder_notice_codec.hpp"

#include <algorithm>

#include "account_limit_codec.hpp"
#include "generated/notices_generated.h"
#include "zinnia/routing/crash_ledger.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::int64_t max_load_ms = 60'000;
constexpr int max_crashes = UINT16_MAX;
constexpr std::int64_t max_report_age_ms = 86'400'000;

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

std::string encode_crash_reports(std::span<const crash_report> reports) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<membership::fbs::CrashReport>> items;
  for (const auto& report : reports) {
    const auto to_wire = [](duration age) {
      return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age.ms, 0, impl::max_report_age_ms));
    };
    items.push_back(membership::fbs::CreateCrashReport(
        builder, report.request.count(), report.backend, static_cast<std::uint8_t>(report.level),
        static_cast<std::uint16_t>(std::clamp(report.crashes, 0, impl::max_crashes)), to_wire(report.age),
        to_wire(report.first_age)));
  }
  builder.Finish(membership::fbs::CreateHolderNotices(builder, 0, builder.CreateVector(items)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

result<node_notices> decode_notices(std::string_view datagram) {
  const auto* const bytes = reinterpret_cast<const std::uint8_t*>(datagram.data());
  const auto malformed = [&](const char* why) {
    return error{reason::malformed_frame, "datagram of " + std::to_string(datagram.size()) + " bytes: " + why,
                 "peer"};
  };
  flatbuffers::Verifier verifier{bytes, datagram.size()};
  if (!membership::fbs::VerifyHolderNoticesBuffer(verifier)) {
    return malformed("not notices");
  }
  node_notices notices;
  const auto* const root = membership::fbs::GetHolderNotices(bytes);
  const auto has_too_many = [](const auto* items) {
    return items != nullptr && items->size() > max_notices_per_datagram;
  };
  if (has_too_many(root->items()) || has_too_many(root->crashes())) {
    return malformed("too many notices; allowed: 30");
  }
  if (root->items() != nullptr) {
    for (const auto* const item : *root->items()) {
      if (item->loads_for_ms() > impl::max_load_ms) {
        return malformed("loads_for_ms; allowed: 0 to 60000");
      }
      notices.holders.push_back({item->object(), item->backend(), duration{item->loads_for_ms()}});
    }
  }
  if (root->crashes() != nullptr) {
    for (const auto* const item : *root->crashes()) {
      if (item->level() > crash_ledger::quarantine_level) {
        return malformed("level; allowed: 0 to 3");
      }
      if (item->age_ms() > impl::max_report_age_ms || item->first_age_ms() > impl::max_report_age_ms) {
        return malformed("age_ms, first_age_ms; allowed: 0 to 86400000");
      }
      notices.crashes.push_back({request_fingerprint{item->request()}, item->backend(), item->level(),
                                 item->crashes(), duration{item->age_ms()}, duration{item->first_age_ms()}});
    }
  }
  if (const auto* const problem = decode_account_messages(*root, notices.accounts)) {
    return malformed(problem);
  }
  return notices;
}

}  // namespace zinnia
