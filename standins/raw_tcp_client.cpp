// Blocking sends, and reads with a timeout.
#include "standins/raw_tcp_client.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>

namespace zinnia::standins {

raw_tcp_client::raw_tcp_client(const std::string& ip, std::uint16_t port)
    : descriptor{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)} {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  this->closed =
      ::connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0;
}

raw_tcp_client::~raw_tcp_client() {
  this->close();
}

void raw_tcp_client::close() {
  if (this->descriptor >= 0) {
    ::close(this->descriptor);
    this->descriptor = -1;
  }
}

void raw_tcp_client::send(const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const auto sent_bytes = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (sent_bytes <= 0) {
      this->closed = true;
      return;
    }
    sent += static_cast<std::size_t>(sent_bytes);
  }
}

std::string raw_tcp_client::read_some(int timeout_ms) {
  pollfd poll_entry{this->descriptor, POLLIN, 0};
  if (timeout_ms <= 0 || ::poll(&poll_entry, 1, timeout_ms) <= 0) {
    return {};
  }
  std::array<char, 16384> chunk{};
  const auto received_bytes = ::recv(this->descriptor, chunk.data(), chunk.size(), 0);
  if (received_bytes <= 0) {
    this->closed = true;
    return {};
  }
  return {chunk.data(), static_cast<std::size_t>(received_bytes)};
}

std::string raw_tcp_client::read_until(const std::string& text, int timeout_ms) {
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds{timeout_ms};
  while (text.empty() || this->received.find(text) == std::string::npos) {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
    const auto bytes = this->read_some(static_cast<int>(remaining.count()));
    if (bytes.empty()) {
      break;
    }
    this->received += bytes;
  }
  return this->received;
}

std::string raw_tcp_client::read_all(int timeout_ms) {
  return this->read_until({}, timeout_ms);
}

}  // namespace zinnia::standins
