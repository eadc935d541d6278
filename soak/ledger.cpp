// The promises, one check each.
#include "ledger.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <functional>

namespace zinnia::soak {
namespace impl {
namespace {

constexpr int status_ok = 200;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

}  // namespace
}  // namespace impl

std::string expected_body(const std::string& request) {
  // Mostly small, now and then larger than any buffer on the way.
  const auto hash = std::hash<std::string>{}(request);
  constexpr std::size_t few = 2000;
  constexpr std::size_t many = 300'000;
  constexpr std::size_t seldom = 50;
  std::string body = "answer to " + request + "\n";
  body.append(hash % seldom == 0 ? many : hash % few, static_cast<char>('a' + hash % 26));
  return body;
}

void ledger::on_sent(const sent_request& request) {
  const absl::MutexLock lock{&this->mutex};
  this->records[request.id].request = request;
}

std::string ledger::on_run(const sent_request& seen, const std::string& backend) {
  const absl::MutexLock lock{&this->mutex};
  auto stamp = absl::StrCat(backend, ".", this->next_stamp++);
  const auto found = this->records.find(seen.id);
  if (found == this->records.end()) {
    this->findings.push_back(absl::StrCat("a request that nobody sent ran: '", seen.id, "' at ", stamp));
    return stamp;
  }
  const auto& request = found->second.request;
  if (seen.method != request.method || seen.path != request.path || seen.body != request.body) {
    this->findings.push_back(absl::StrCat("request ", seen.id, " was changed on the way to ", stamp));
  }
  found->second.stamps.push_back(stamp);
  return stamp;
}

void ledger::on_answer(const std::string& id, const received_answer& answer) {
  const absl::MutexLock lock{&this->mutex};
  auto& kept = this->records.at(id);
  kept.answered = true;
  kept.answer = answer;
  kept.answer.body.clear();
  const auto& stamps = kept.stamps;
  const bool is_of_a_server = std::find(stamps.begin(), stamps.end(), answer.stamp) != stamps.end();
  if (!answer.stamp.empty() && !is_of_a_server) {
    this->findings.push_back(absl::StrCat("request ", id, " got the answer of another, ", answer.stamp));
  }
  if (answer.status == impl::status_ok && (!is_of_a_server || answer.body != expected_body(id))) {
    this->findings.push_back(absl::StrCat("request ", id, " got a success that is not the server's, stamp '",
                                          answer.stamp, "', ", answer.body.size(), " bytes"));
  }
  if (answer.status == 0 && answer.cut && answer.undisturbed && !stamps.empty()) {
    this->findings.push_back(
        absl::StrCat("request ", id, " ran and was cut off at ", answer.node, " with nothing disturbed"));
  }
}

void ledger::add_finding(const std::string& text) {
  const absl::MutexLock lock{&this->mutex};
  this->findings.push_back(text);
}

std::vector<std::string> ledger::close() {
  const absl::MutexLock lock{&this->mutex};
  for (const auto& [id, kept] : this->records) {
    if (!kept.request.repeatable && kept.stamps.size() > 1) {
      this->findings.push_back(
          absl::StrCat("request ", id, " may run once and ran ", kept.stamps.size(), " times"));
    }
    const bool promises =
        kept.answer.status == impl::status_unavailable || kept.answer.status == impl::status_too_many;
    if (promises && !kept.stamps.empty()) {
      this->findings.push_back(absl::StrCat("request ", id, " was refused with ", kept.answer.status,
                                            " and ran at ", kept.stamps.front()));
    }
  }
  return this->findings;
}

std::string ledger::summary() const {
  const absl::MutexLock lock{&this->mutex};
  std::map<std::string, int> endings;
  for (const auto& [id, kept] : this->records) {
    const auto& answer = kept.answer;
    ++endings[!kept.answered       ? "open"
              : answer.status != 0 ? std::to_string(answer.status)
              : answer.cut         ? "cut"
                                   : "given up"];
  }
  std::string line = absl::StrCat(this->records.size(), " requests");
  for (const auto& [ending, count] : endings) {
    absl::StrAppend(&line, ", ", ending, ": ", count);
  }
  return line;
}

}  // namespace zinnia::soak
