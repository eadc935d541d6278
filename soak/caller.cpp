// Blocking sockets with poll.
#include "caller.hpp"

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
    const auto step = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (step <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(step);
  }
  return true;
}

received_answer caller::ask(const sent_request& request, int deadline_ms, int limit_ms) {
  received_answer answer;
  this->book.on_sent(request);
  if (this->descriptor < 0 && !this->connect()) {
    answer.cut = true;
    return answer;
  }
  const auto bytes = absl::StrCat(request.method, " ", request.path,
                                  " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: ", request.id,
                                  "\r\nAffinity-Key: ", request.path, "\r\nDeadline-Ms: ", deadline_ms,
                                  "\r\nContent-Length: ", request.body.size(), "\r\n\r\n", request.body);
  answer.cut = !this->send(bytes);
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds{limit_ms};
  constexpr std::uint32_t header_limit = 16 << 10;
  response_parser parser{header_limit, [&answer](std::string_view piece) { answer.body += piece; }};
  std::string unparsed;
  bool is_whole = false;
  while (!answer.cut && !is_whole) {
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
    pollfd entry{this->descriptor, POLLIN, 0};
    if (left.count() <= 0 || poll(&entry, 1, static_cast<int>(left.count())) <= 0) {
      break;
    }
    std::array<char, 16384> chunk{};
    const auto got = recv(this->descriptor, chunk.data(), chunk.size(), 0);
    if (got <= 0) {
      answer.cut = true;
      break;
    }
    unparsed.append(chunk.data(), static_cast<std::size_t>(got));
    std::size_t used = 0;
    const auto progress = parser.feed(unparsed, used);
    unparsed.erase(0, used);
    is_whole = progress == parse_progress::complete;
    if (progress == parse_progress::malformed || (is_whole && !unparsed.empty())) {
      this->book.add_finding("request " + request.id + ": bytes that belong to no answer");
      answer.cut = true;
    }
  }
  if (!is_whole) {
    this->disconnect();
    return answer;
  }
  const auto& head = parser.head();
  answer.status = head.status;
  answer.stamp = std::string{find_field(head.fields, "Server-Stamp").value_or("")};
  if (equals_ignoring_case(find_field(head.fields, "Connection").value_or(""), "close")) {
    this->disconnect();
  }
  return answer;
}

}  // namespace zinnia::soak
