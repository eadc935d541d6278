// Reads a response piece by piece, until it is complete or the time is over.
#include "caller.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <chrono>

#include "zinnia/http/message_parser.hpp"

namespace zinnia::soak {

request_result caller::send_request(const sent_request& request, int deadline_ms, int timeout_ms) {
  request_result result;
  this->history.on_request_sent(request);
  if (!this->connection) {
    this->connection = std::make_unique<standins::raw_tcp_client>(this->port);
  }
  const auto bytes = absl::StrCat(request.method, " ", request.path,
                                  " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: ", request.id,
                                  "\r\nAffinity-Key: ", request.path, "\r\nDeadline-Ms: ", deadline_ms,
                                  "\r\nContent-Length: ", request.body.size(), "\r\n\r\n", request.body);
  this->connection->send(bytes);
  result.connection_lost = this->connection->is_closed();
  const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::milliseconds{timeout_ms};
  constexpr std::uint32_t max_header_bytes = 16 << 10;
  response_parser parser{max_header_bytes, [&result](std::string_view piece) { result.body += piece; }};
  std::string unparsed;
  bool is_complete = false;
  while (!result.connection_lost && !is_complete) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(give_up_at - std::chrono::steady_clock::now());
    const auto received = this->connection->read_some(static_cast<int>(remaining.count()));
    if (received.empty()) {
      result.connection_lost = this->connection->is_closed();
      break;
    }
    unparsed += received;
    std::size_t parsed_bytes = 0;
    const auto progress = parser.feed(unparsed, parsed_bytes);
    unparsed.erase(0, parsed_bytes);
    is_complete = progress == parse_progress::complete;
    if (progress == parse_progress::malformed || (is_complete && !unparsed.empty())) {
      this->history.add_violation("request " + request.id + ": bytes that belong to no answer");
      result.connection_lost = true;
    }
  }
  if (!is_complete) {
    this->connection.reset();
    return result;
  }
  const auto& head = parser.head();
  result.status = head.status;
  const std::string retry_after{find_field(head.fields, "Retry-After").value_or("0")};
  static_cast<void>(absl::SimpleAtod(retry_after, &result.retry_after_s));
  result.stamp = std::string{find_field(head.fields, "Server-Stamp").value_or("")};
  if (equals_ignoring_case(find_field(head.fields, "Connection").value_or(""), "close")) {
    this->connection.reset();
  }
  return result;
}

}  // namespace zinnia::soak
