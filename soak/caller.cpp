// Uses blocking sockets, with poll for the timeout.
#include "caller.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>

namespace zinnia::soak {

bool caller::connect() {
  this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(this->port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    this->disconnect();
    return false;
  }
  return true;
}

void caller::disconnect() {
  if (this->descriptor >= 0) {
    close(this->descriptor);
    this->descriptor = -1;
  }
}

bool caller::send(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto sent_now = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (sent_now <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(sent_now);
  }
  return true;
}

request_result caller::send_request(const sent_request& request, int deadline_ms, int timeout_ms) {
  request_result result;
  this->history.on_request_sent(request);
  if (this->descriptor < 0 && !this->connect()) {
    result.connection_lost = true;
    return result;
  }
  const auto bytes = absl::StrCat(request.method, " ", request.path,
                                  " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: ", request.id,
                                  "\r\nAffinity-Key: ", request.path, "\r\nDeadline-Ms: ", deadline_ms,
                                  "\r\nContent-Length: ", request.body.size(), "\r\n\r\n", request.body);
  result.connection_lost = !this->send(bytes);
  const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::milliseconds{timeout_ms};
  constexpr std::uint32_t max_header_bytes = 16 << 10;
  response_parser parser{max_header_bytes, [&result](std::string_view piece) { result.body += piece; }};
  std::string unparsed;
  bool is_complete = false;
  while (!result.connection_lost && !is_complete) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(give_up_at - std::chrono::steady_clock::now());
    pollfd poll_entry{this->descriptor, POLLIN, 0};
    if (remaining.count() <= 0 || poll(&poll_entry, 1, static_cast<int>(remaining.count())) <= 0) {
      break;
    }
    std::array<char, 16384> chunk{};
    const auto received = recv(this->descriptor, chunk.data(), chunk.size(), 0);
    if (received <= 0) {
      result.connection_lost = true;
      break;
    }
    unparsed.append(chunk.data(), static_cast<std::size_t>(received));
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
    this->disconnect();
    return result;
  }
  const auto& head = parser.head();
  result.status = head.status;
  const std::string retry_after{find_field(head.fields, "Retry-After").value_or("0")};
  static_cast<void>(absl::SimpleAtod(retry_after, &result.retry_after_s));
  result.stamp = std::string{find_field(head.fields, "Server-Stamp").value_or("")};
  if (equals_ignoring_case(find_field(head.fields, "Connection").value_or(""), "close")) {
    this->disconnect();
  }
  return result;
}

}  // namespace zinnia::soak
