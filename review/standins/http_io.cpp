// Sockets and message parsing.
#include "http_io.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <sstream>
#include <utility>

namespace review {
namespace {

constexpr int connect_timeout_ms = 1000;
constexpr int backlog = 256;
constexpr std::size_t piece_size = 64UL << 10;

[[nodiscard]] sockaddr_in to_address(const std::string& ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

[[nodiscard]] std::string lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return text;
}

[[nodiscard]] std::string trimmed(const std::string& text) {
  const auto first = text.find_first_not_of(" \t");
  const auto last = text.find_last_not_of(" \t\r");
  return first == std::string::npos ? std::string{} : text.substr(first, last - first + 1);
}

}  // namespace

tcp_socket::tcp_socket(tcp_socket&& other) noexcept : descriptor{std::exchange(other.descriptor, -1)} {}

tcp_socket& tcp_socket::operator=(tcp_socket&& other) noexcept {
  this->close_now();
  this->descriptor = std::exchange(other.descriptor, -1);
  return *this;
}

tcp_socket::~tcp_socket() {
  this->close_now();
}

void tcp_socket::close_now() {
  if (this->descriptor >= 0) {
    ::close(std::exchange(this->descriptor, -1));
  }
}

tcp_socket tcp_socket::connect_to(const std::string& ip, std::uint16_t port) {
  tcp_socket made{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)};
  const auto address = to_address(ip, port);
  if (::connect(made.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    pollfd waited{made.descriptor, POLLOUT, 0};
    int problem = 0;
    socklen_t size = sizeof problem;
    if (::poll(&waited, 1, connect_timeout_ms) <= 0 ||
        getsockopt(made.descriptor, SOL_SOCKET, SO_ERROR, &problem, &size) != 0 || problem != 0) {
      return {};
    }
  }
  fcntl(made.descriptor, F_SETFL, fcntl(made.descriptor, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(made.descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return made;
}

tcp_socket tcp_socket::listen_at(const std::string& ip, std::uint16_t port) {
  tcp_socket made{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  const int on = 1;
  setsockopt(made.descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const auto address = to_address(ip, port);
  if (::bind(made.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(made.descriptor, backlog) != 0) {
    return {};
  }
  return made;
}

tcp_socket tcp_socket::accept_next() const {
  tcp_socket made{::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC)};
  const int on = 1;
  setsockopt(made.descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return made;
}

std::uint16_t tcp_socket::port() const {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

void tcp_socket::set_receive_timeout(int timeout_ms) const {
  constexpr long ms_per_second = 1000;
  constexpr long us_per_ms = 1000;
  const timeval limit{timeout_ms / ms_per_second, (timeout_ms % ms_per_second) * us_per_ms};
  setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

bool tcp_socket::send_all(const std::string& bytes) const {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const auto count = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool tcp_socket::receive(std::string& buffer) const {
  std::array<char, piece_size> piece{};
  const auto count = ::recv(this->descriptor, piece.data(), piece.size(), 0);
  if (count <= 0) {
    return false;
  }
  buffer.append(piece.data(), static_cast<std::size_t>(count));
  return true;
}

std::string http_message::field(const std::string& name) const {
  const auto found = this->fields.find(name);
  return found == this->fields.end() ? std::string{} : found->second;
}

bool message_reader::read_until(std::size_t size) {
  while (this->buffer.size() < size) {
    if (!this->socket.receive(this->buffer)) {
      return false;
    }
  }
  return true;
}

bool message_reader::read_chunks(std::string& body) {
  constexpr int hexadecimal = 16;
  while (true) {
    auto line_end = this->buffer.find("\r\n");
    while (line_end == std::string::npos) {
      if (!this->socket.receive(this->buffer)) {
        return false;
      }
      line_end = this->buffer.find("\r\n");
    }
    const auto size = std::stoul(this->buffer.substr(0, line_end), nullptr, hexadecimal);
    if (!this->read_until(line_end + 2 + size + 2)) {
      return false;
    }
    body += this->buffer.substr(line_end + 2, size);
    this->buffer.erase(0, line_end + 2 + size + 2);
    if (size == 0) {
      return true;
    }
  }
}

std::optional<http_message> message_reader::next() {
  auto head_end = this->buffer.find("\r\n\r\n");
  while (head_end == std::string::npos) {
    if (!this->socket.receive(this->buffer)) {
      return std::nullopt;
    }
    head_end = this->buffer.find("\r\n\r\n");
  }
  std::istringstream head{this->buffer.substr(0, head_end)};
  http_message read;
  std::string first;
  std::string second;
  head >> first >> second;
  std::string line;
  std::getline(head, line);
  if (first.starts_with("HTTP/")) {
    read.status = std::stoi(second);
  } else {
    read.method = first;
    read.target = second;
  }
  while (std::getline(head, line)) {
    const auto colon = line.find(':');
    if (colon != std::string::npos) {
      read.fields[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
    }
  }
  this->buffer.erase(0, head_end + 4);
  if (lower(read.field("transfer-encoding")) == "chunked") {
    if (!this->read_chunks(read.body)) {
      return std::nullopt;
    }
    return read;
  }
  const auto length_text = read.field("content-length");
  const std::size_t length = length_text.empty() ? 0 : std::stoul(length_text);
  if (!this->read_until(length)) {
    return std::nullopt;
  }
  read.body = this->buffer.substr(0, length);
  this->buffer.erase(0, length);
  return read;
}

}  // namespace review
