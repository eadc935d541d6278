// Reads a response piece by piece, until it is complete or the time is over.
#include "caller.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <chrono>
#include <utility>

#include "zinnia/http/message_parser.hpp"

namespace zinnia::soak {

request_result caller::send_request(const sent_request& request, int deadline_ms, int timeout_ms) {
  request_result result;
  this->history.on_request_sent(request);
  if (!this->connection) {
    this->connection = std::make_unique<standins::raw_tcp_client>(this->port);
  }
  const auto start_text = absl::StrCat(request.method, " ", request.path,
                                       " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: ", request.id,
                                       "\r\nAffinity-Key: ", request.path, "\r\nDeadline-Ms: ", deadline_ms,
                                       "\r\nContent-Length: ", request.body.size(), "\r\n\r\n");
  const auto started = std::chrono::steady_clock::now();
  const auto give_up_at = started + std::chrono::milliseconds{timeout_ms};
  const auto sent_first = request.pause_ms > 0 ? request.body.size() / 2 : request.body.size();
  this->connection->send(start_text + request.body.substr(0, sent_first));
  std::string received;
  if (request.pause_ms > 0) {
    // A node may respond before it has read the body.
    received = this->connection->read_some(request.pause_ms);
    if (received.empty() && !this->connection->is_closed()) {
      this->connection->send(request.body.substr(sent_first));
    }
  }
  result.connection_lost = received.empty() && this->connection->is_closed();
  constexpr std::uint32_t max_header_bytes = 16 << 10;
  response_parser parser{max_header_bytes, [&result](std::string_view piece) { result.body += piece; }};
  std::string unparsed;
  bool is_complete = false;
  while (!result.connection_lost && !is_complete) {
    if (received.empty()) {
      const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
          give_up_at - std::chrono::steady_clock::now());
      received = this->connection->read_some(static_cast<int>(remaining.count()));
    }
    if (received.empty()) {
      result.connection_lost = this->connection->is_closed();
      break;
    }
    unparsed += std::exchange(received, {});
    std::size_t parsed_bytes = 0;
    const auto progress = parser.feed(unparsed, parsed_bytes);
    unparsed.erase(0, parsed_bytes);
    is_complete = progress == parse_progress::complete;
    if (progress == parse_progress::malformed || (is_complete && !unparsed.empty())) {
      this->history.add_violation("request " + request.id + ": bytes that belong to no answer");
      result.connection_lost = true;
    }
  }
  result.took_ms = static_cast<int>(
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - started)
          .count());
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
