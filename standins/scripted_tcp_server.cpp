// One thread accepts connections, and each connection is served by a thread of its own.
#include "standins/scripted_tcp_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <limits>

namespace zinnia::standins {
namespace impl {
namespace {

constexpr int poll_interval_ms = 20;

[[nodiscard]] bool wait_readable(int fd, const std::atomic<bool>& stopping) {
  while (!stopping) {
    pollfd poll_entry{fd, POLLIN, 0};
    if (poll(&poll_entry, 1, poll_interval_ms) > 0) {
      return true;
    }
  }
  return false;
}

void reset_on_close(int connection) {
  const linger without_delay{1, 0};
  setsockopt(connection, SOL_SOCKET, SO_LINGER, &without_delay, sizeof without_delay);
}

/// Reads that many bytes, or until the peer closes.
void discard(int connection, std::size_t bytes, const std::atomic<bool>& stopping) {
  char discarded[4096];
  while (bytes > 0 && wait_readable(connection, stopping)) {
    const auto count = ::recv(connection, discarded, std::min(bytes, sizeof discarded), 0);
    if (count <= 0) {
      return;
    }
    bytes -= static_cast<std::size_t>(count);
  }
}

/// Returns the length of the part of the first request that precedes the response, or 0 if the head is
/// incomplete.
[[nodiscard]] std::size_t request_length(const std::string& bytes, response_time when) {
  const auto head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return 0;
  }
  if (when == response_time::after_head) {
    return head_end + 4;
  }
  const std::string length_field_name = "Content-Length: ";
  const auto field_start = bytes.find(length_field_name);
  const auto body_length =
      field_start == std::string::npos || field_start > head_end
          ? 0
          : std::strtoul(bytes.c_str() + field_start + length_field_name.size(), nullptr, 10);
  return head_end + 4 + body_length;
}

}  // namespace
}  // namespace impl

scripted_tcp_server::scripted_tcp_server(std::function<scripted_response(int)> script_in,
                                         std::optional<scripted_response> health_response_in,
                                         response_time response_time_in)
    : script{std::move(script_in)}, health_response{std::move(health_response_in)}, when{response_time_in} {
  this->listening_socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  static_cast<void>(
      ::bind(this->listening_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address));
  ::listen(this->listening_socket, SOMAXCONN);
  socklen_t size = sizeof address;
  getsockname(this->listening_socket, reinterpret_cast<sockaddr*>(&address), &size);
  this->bound_port = ntohs(address.sin_port);
  this->accept_thread = std::thread{[this] { this->accept_connections(); }};
}

scripted_tcp_server::~scripted_tcp_server() {
  this->stopping = true;
  this->accept_thread.join();
  ::close(this->listening_socket);
}

void scripted_tcp_server::crash() {
  // The port is closed before any connection is reset, so that nobody who sees a reset can still connect.
  ::shutdown(this->listening_socket, SHUT_RDWR);
  this->crashed = true;
  this->stopping = true;
}

void scripted_tcp_server::accept_connections() {
  while (impl::wait_readable(this->listening_socket, this->stopping)) {
    const int connection = ::accept(this->listening_socket, nullptr, nullptr);
    if (connection >= 0) {
      ++this->connection_count;
      this->connection_threads.emplace_back([this, connection] {
        this->serve(connection);
        if (this->crashed) {
          impl::reset_on_close(connection);
        }
        ::close(connection);
      });
    }
  }
  for (auto& connection_thread : this->connection_threads) {
    connection_thread.join();
  }
}

void scripted_tcp_server::serve(int connection) {
  std::string bytes;
  while (true) {
    std::size_t length = impl::request_length(bytes, this->when);
    while (length == 0 || bytes.size() < length) {
      char chunk[4096];
      const bool readable = impl::wait_readable(connection, this->stopping);
      const auto received_bytes = readable ? ::recv(connection, chunk, sizeof chunk, 0) : 0;
      if (received_bytes <= 0) {
        return;
      }
      bytes.append(chunk, static_cast<std::size_t>(received_bytes));
      length = impl::request_length(bytes, this->when);
    }
    const bool is_health_check = this->health_response && bytes.starts_with("GET /health ");
    bytes.erase(0, length);
    const auto response =
        is_health_check ? *this->health_response : this->script(this->request_count.fetch_add(1));
    if (response.crash) {
      this->crash();
      return;
    }
    this->send_response(connection, response);
    if (!response.keep_open) {
      return;
    }
  }
}

void scripted_tcp_server::send_response(int connection, const scripted_response& response) {
  std::this_thread::sleep_for(std::chrono::milliseconds{response.delay_ms});
  bool is_connected = this->send_all(connection, response.reply);
  if (!response.repeated.empty()) {
    constexpr std::size_t block_bytes = 16 << 10;
    std::string block;
    while (block.size() < block_bytes) {
      block += response.repeated;
    }
    for (std::size_t sent = 0; is_connected && sent < max_repeated_bytes; sent += block.size()) {
      is_connected = this->send_all(connection, block);
    }
  }
  impl::discard(connection, response.read_bytes, this->stopping);
  std::this_thread::sleep_for(std::chrono::milliseconds{response.close_delay_ms});
  if (response.half_close) {
    ::shutdown(connection, SHUT_WR);
    impl::discard(connection, std::numeric_limits<std::size_t>::max(), this->stopping);
  }
  if (response.reset) {
    impl::reset_on_close(connection);
  }
}

bool scripted_tcp_server::send_all(int connection, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size() && !this->stopping) {
    pollfd poll_entry{connection, POLLOUT, 0};
    if (poll(&poll_entry, 1, impl::poll_interval_ms) <= 0) {
      continue;
    }
    const auto count =
        ::send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && errno != EAGAIN) {
      return false;
    }
    sent += count > 0 ? static_cast<std::size_t>(count) : 0;
    this->sent_byte_count += count > 0 ? static_cast<std::size_t>(count) : 0;
  }
  return sent == bytes.size();
}

}  // namespace zinnia::standins
