// Checks one guarantee at a time.
#include "request_history.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>

namespace zinnia::soak {
namespace impl {
namespace {

constexpr int status_ok = 200;
constexpr int status_too_many_requests = 429;
constexpr int status_service_unavailable = 503;
/// A connection that a node closes as idle is lost this soon after the request, which has crossed the close.
constexpr int max_crossing_ms = 300;

}  // namespace
}  // namespace impl

std::string expected_body(const std::string& request_id) {
  // Most bodies are small; a few are larger than any buffer on their path.
  const auto hash = std::hash<std::string>{}(request_id);
  constexpr std::size_t max_small_body_bytes = 2000;
  constexpr std::size_t large_body_bytes = 300'000;
  constexpr std::size_t large_body_interval = 50;
  std::string body = "answer to " + request_id + "\n";
  body.append(hash % large_body_interval == 0 ? large_body_bytes : hash % max_small_body_bytes,
              static_cast<char>('a' + hash % 26));
  return body;
}

void request_history::on_request_sent(const sent_request& request) {
  const absl::MutexLock lock{&this->mutex};
  this->records[request.id].request = request;
}

std::string request_history::on_execution(const sent_request& received, const std::string& backend) {
  const absl::MutexLock lock{&this->mutex};
  auto stamp = absl::StrCat(backend, ".", this->next_stamp++);
  const auto found = this->records.find(received.id);
  if (found == this->records.end()) {
    this->violations.push_back(
        absl::StrCat("a request that nobody sent ran: '", received.id, "' at ", stamp));
    return stamp;
  }
  const auto& request = found->second.request;
  if (received.method != request.method || received.path != request.path || received.body != request.body) {
    this->violations.push_back(absl::StrCat("request ", received.id, " was changed on the way to ", stamp));
  }
  found->second.stamps.push_back(stamp);
  return stamp;
}

void request_history::on_request_finished(const std::string& id, const request_result& result) {
  const absl::MutexLock lock{&this->mutex};
  auto& entry = this->records.at(id);
  entry.is_finished = true;
  entry.result = result;
  entry.result.body.clear();
  const auto& stamps = entry.stamps;
  const bool is_stamp_of_request = std::find(stamps.begin(), stamps.end(), result.stamp) != stamps.end();
  if (!result.stamp.empty() && !is_stamp_of_request) {
    this->violations.push_back(absl::StrCat("request ", id, " got the answer of another, ", result.stamp));
  }
  if (result.status == impl::status_ok && (!is_stamp_of_request || result.body != expected_body(id))) {
    this->violations.push_back(absl::StrCat("request ", id,
                                            " got a success that is not the server's, stamp '", result.stamp,
                                            "', ", result.body.size(), " bytes"));
  }
  if (result.status == 0 && result.connection_lost && result.was_fault_free && !stamps.empty()) {
    this->violations.push_back(
        absl::StrCat("request ", id, " ran and was cut off at ", result.node, " with nothing disturbed"));
  }
  if (result.status == 0 && result.connection_lost && result.was_fault_free && entry.request.pause_ms > 0 &&
      result.took_ms - result.stalled_ms > impl::max_crossing_ms) {
    this->violations.push_back(absl::StrCat("request ", id, " was half sent for ", result.took_ms,
                                            " ms and cut off at ", result.node, " with nothing disturbed"));
  }
}

void request_history::add_violation(const std::string& text) {
  const absl::MutexLock lock{&this->mutex};
  this->violations.push_back(text);
}

std::vector<std::string> request_history::check_at_end() {
  const absl::MutexLock lock{&this->mutex};
  for (const auto& [id, entry] : this->records) {
    if (!entry.request.is_repeatable && entry.stamps.size() > 1) {
      this->violations.push_back(
          absl::StrCat("request ", id, " may run once and ran ", entry.stamps.size(), " times"));
    }
    const bool is_refusal = entry.result.status == impl::status_service_unavailable ||
                            entry.result.status == impl::status_too_many_requests;
    if (is_refusal && !entry.stamps.empty()) {
      this->violations.push_back(absl::StrCat("request ", id, " was refused with ", entry.result.status,
                                              " and ran at ", entry.stamps.front()));
    }
  }
  return this->violations;
}

std::string request_history::summary() const {
  const absl::MutexLock lock{&this->mutex};
  std::map<std::string, int> counts_by_result;
  for (const auto& [id, entry] : this->records) {
    const auto& result = entry.result;
    ++counts_by_result[!entry.is_finished       ? "open"
                       : result.status != 0     ? std::to_string(result.status)
                       : result.connection_lost ? "cut"
                                                : "given up"];
  }
  std::string line = absl::StrCat(this->records.size(), " requests");
  for (const auto& [outcome, count] : counts_by_result) {
    absl::StrAppend(&line, ", ", outcome, ": ", count);
  }
  return line;
}

}  // namespace zinnia::soak
