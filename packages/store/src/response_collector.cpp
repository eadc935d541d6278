// Checks each header line as it arrives, and the status at the end.
#include "zinnia/store/response_collector.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <utility>

namespace zinnia {
namespace impl {
namespace {

constexpr long min_final_status = 200;
constexpr long max_status = 599;
/// Of a response's heads and trailers together, in bytes.
constexpr std::size_t max_header_bytes = 64 << 10;
constexpr std::string_view status_line_start = "HTTP/";

/// Returns true for the characters of a field name (RFC 9110, 5.6.2).
[[nodiscard]] bool is_token_character(char character) noexcept {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return absl::ascii_isalnum(static_cast<unsigned char>(character)) ||
         marks.find(character) != std::string_view::npos;
}

[[nodiscard]] std::string strip(std::string_view text) {
  return std::string{absl::StripAsciiWhitespace(absl::string_view{text.data(), text.size()})};
}

}  // namespace
}  // namespace impl

void response_collector::attach(CURL* handle) {
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, on_header_line);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, this);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, this);
}

http_response response_collector::take(CURL* handle, CURLcode code) {
  long status = 0;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
  if (code == CURLE_OK && !this->head_complete) {
    this->defect = "the connection closed in the head";
  } else if (code == CURLE_OK && (status < impl::min_final_status || status > impl::max_status)) {
    this->defect = "status " + std::to_string(status) + ", not 200 to 599";
  }
  if (code == CURLE_OK && this->defect.empty()) {
    this->received.status = status;
    return std::move(this->received);
  }
  http_response none;
  none.too_long = this->received.too_long;
  none.failure_reason = this->defect.empty() ? curl_easy_strerror(code) : this->defect;
  none.never_connected = code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST;
  return none;
}

std::size_t response_collector::on_header_line(char* data, std::size_t size, std::size_t count,
                                               void* target) {
  auto& collector = *static_cast<response_collector*>(target);
  return collector.add_header_line({data, size * count}) ? size * count : 0;
}

std::size_t response_collector::on_body(char* data, std::size_t size, std::size_t count, void* target) {
  auto& collector = *static_cast<response_collector*>(target);
  return collector.add_body({data, size * count}) ? size * count : 0;
}

bool response_collector::add_body(std::string_view piece) {
  auto& body = this->received.body;
  this->received.too_long = body.size() + piece.size() > max_response_body_bytes;
  if (this->received.too_long) {
    this->defect = "a body of more than " + std::to_string(max_response_body_bytes) + " bytes";
    return false;
  }
  if (this->shared_budget != nullptr) {
    if (this->shared_budget->used + piece.size() > this->shared_budget->limit) {
      this->defect =
          "bodies of all calls of more than " + std::to_string(this->shared_budget->limit) + " bytes";
      return false;
    }
    this->shared_budget->used += piece.size();
    this->budget_used += piece.size();
  }
  body.append(piece);
  return true;
}

void response_collector::release_budget() noexcept {
  if (this->shared_budget != nullptr) {
    this->shared_budget->used -= std::exchange(this->budget_used, 0);
  }
}

bool response_collector::add_header_line(std::string_view line) {
  this->header_bytes += line.size();
  if (this->header_bytes > impl::max_header_bytes) {
    this->defect = "header lines of more than " + std::to_string(impl::max_header_bytes) + " bytes";
    return false;
  }
  line = line.substr(0, line.find_last_not_of("\r\n") + 1);
  const bool is_status_line = line.starts_with(impl::status_line_start);
  if (line.empty() || is_status_line) {
    this->head_complete = !is_status_line;
    return true;
  }
  const bool is_folded = line.front() == ' ' || line.front() == '\t';
  if (is_folded && this->last_value != nullptr) {
    this->last_value->append(1, ' ').append(impl::strip(line));
    return true;
  }
  const auto name = line.substr(0, line.find(':'));
  const bool is_valid = name.size() < line.size() && !name.empty() &&
                        std::all_of(name.begin(), name.end(), impl::is_token_character);
  if (!is_valid) {
    this->defect = "a field whose name is no token";
    return false;
  }
  auto& value = this->received.headers[absl::AsciiStrToLower(absl::string_view{name.data(), name.size()})];
  value = impl::strip(line.substr(name.size() + 1));
  this->last_value = &value;
  return true;
}

}  // namespace zinnia
