// Classification of calls to peers.
#include "peer_result.hpp"

#include <absl/strings/numbers.h>

#include <cmath>

#include "hop_fields.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Retry-After, in ms, if a peer named none.
constexpr duration default_retry_after{200};

[[nodiscard]] duration parse_retry_after(const header_fields& fields) {
  constexpr double ms_per_second = 1000;
  constexpr double max_seconds = 3600;
  const auto text = find_field(fields, "Retry-After").value_or("");
  double seconds = 0;
  if (!absl::SimpleAtod(absl::string_view{text.data(), text.size()}, &seconds) || !(seconds >= 0)) {
    return default_retry_after;
  }
  return {static_cast<std::int64_t>(std::lround(std::min(seconds, max_seconds) * ms_per_second))};
}

}  // namespace
}  // namespace impl

peer_result classify_peer_response(const response_head& response, const header_field_names& field_names) {
  const auto told = parse_hop_result(response.fields);
  peer_result result;
  if (!told) {
    result.failure_reason = reason::answer_unsound;
    return result;
  }
  result.run_verdict = told->run_verdict;
  result.sent_count = told->sent_count;
  if (told->own_reason == reason::none) {
    const auto attempt = classify_response(response, field_names);
    result.failure_reason = attempt.failure_reason;
    result.can_forward = attempt.can_forward;
    return result;
  }
  result.failure_reason = told->own_reason;
  result.can_try_other_peer = is_refused_on_arrival(*told);
  result.retry_after = impl::parse_retry_after(response.fields);
  return result;
}

peer_result classify_peer_call(const backend_call_result& end, const response_head& response,
                               const header_field_names& field_names) {
  if (end.complete) {
    return classify_peer_response(response, field_names);
  }
  peer_result result;
  result.run_verdict = end.outcome;
  result.failure_reason = end.failure_reason;
  result.can_try_other_peer = end.outcome == verdict::did_not_run;
  result.unreachable = end.outcome == verdict::did_not_run;
  return result;
}

}  // namespace zinnia
