// Classification of attempts by response head and by how the call ended.
#include "attempt_result.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int status_request_timeout = 408;
constexpr int status_misdirected = 421;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr int first_server_error = 500;

/// Returns true for statuses that tell a caller that the request did not run.
[[nodiscard]] bool is_not_run_status(int status) noexcept {
  return status == status_unavailable || status == status_too_many || status == status_request_timeout ||
         status == status_misdirected;
}

}  // namespace
}  // namespace impl

bool is_success(int status) noexcept {
  constexpr int first = 200;
  constexpr int last = 299;
  return status >= first && status <= last;
}

attempt_result classify_response(const response_head& response, const header_field_names& field_names) {
  const bool says_not_run = find_field(response.fields, field_names.did_not_run).has_value();
  if (response.status == impl::status_misdirected) {
    return {backend_outcome::replaced, verdict::did_not_run, reason::backend_replaced, false, true};
  }
  if (says_not_run && !is_success(response.status)) {
    return {backend_outcome::shed, verdict::did_not_run, reason::backend_shed, false, true};
  }
  const bool is_invalid =
      is_success(response.status) && (!find_field(response.fields, field_names.response_stamp) ||
                                      find_field(response.fields, "Content-Encoding"));
  if (is_invalid) {
    return {backend_outcome::bad_response, verdict::may_have_run, reason::answer_unsound, false, true};
  }
  if (impl::is_not_run_status(response.status)) {
    return {backend_outcome::bad_response, verdict::may_have_run, reason::backend_error, false, true};
  }
  if (response.status >= impl::first_server_error) {
    return {backend_outcome::bad_response, verdict::ran, reason::backend_error, true, true};
  }
  return {};
}

attempt_result classify_attempt(const backend_call_result& end, const response_head& response,
                                const header_field_names& field_names) {
  if (end.complete) {
    return classify_response(response, field_names);
  }
  const bool is_unreachable =
      end.outcome == verdict::did_not_run && end.failure_reason == reason::connect_failed;
  return {is_unreachable ? backend_outcome::unreachable : backend_outcome::no_response, end.outcome,
          end.failure_reason, false, true};
}

}  // namespace zinnia
