// Verdicts from heads and endings.
#include "judgement.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr int status_request_timeout = 408;
constexpr int status_misdirected = 421;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;
constexpr int first_server_error = 500;

/// Statuses that promise that the request has not run.
[[nodiscard]] bool is_promise(int status) noexcept {
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

judgement judge_answer(const response_head& answer, const wire_dialect& dialect) {
  const bool says_not_run = find_field(answer.fields, dialect.did_not_run).has_value();
  if (answer.status == impl::status_misdirected) {
    return {backend_outcome::replaced, verdict::did_not_run, reason::backend_replaced, false, true};
  }
  if (says_not_run && !is_success(answer.status)) {
    return {backend_outcome::shed, verdict::did_not_run, reason::backend_shed, false, true};
  }
  const bool is_unsound = is_success(answer.status) && (!find_field(answer.fields, dialect.answer_stamp) ||
                                                        find_field(answer.fields, "Content-Encoding"));
  if (is_unsound) {
    return {backend_outcome::bad_response, verdict::may_have_run, reason::answer_unsound, false, true};
  }
  if (impl::is_promise(answer.status)) {
    return {backend_outcome::bad_response, verdict::may_have_run, reason::backend_error, false, true};
  }
  if (answer.status >= impl::first_server_error) {
    return {backend_outcome::bad_response, verdict::ran, reason::backend_error, true, true};
  }
  return {};
}

judgement judge_call(const backend_call_end& end, const response_head& answer, const wire_dialect& dialect) {
  if (end.complete) {
    return judge_answer(answer, dialect);
  }
  const bool is_unreachable = end.outcome == verdict::did_not_run && end.why == reason::connect_failed;
  return {is_unreachable ? backend_outcome::unreachable : backend_outcome::no_response, end.outcome, end.why,
          false, true};
}

}  // namespace zinnia
