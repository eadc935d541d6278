// One thread accepts connections, and each connection is served by a thread of its own.
#include "standins/scripted_tcp_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>

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

/// Returns the length of the first request including its body, or 0 if its head is incomplete.
[[nodiscard]] std::size_t request_length(const std::string& bytes) {
  const auto head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return 0;
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
                                         std::optional<scripted_response> health_response_in)
    : script{std::move(script_in)}, health_response{std::move(health_response_in)} {
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
    std::size_t length = impl::request_length(bytes);
    while (length == 0 || bytes.size() < length) {
      char chunk[4096];
      const bool readable = impl::wait_readable(connection, this->stopping);
      const auto received_bytes = readable ? ::recv(connection, chunk, sizeof chunk, 0) : 0;
      if (received_bytes <= 0) {
        return;
      }
      bytes.append(chunk, static_cast<std::size_t>(received_bytes));
      length = impl::request_length(bytes);
    }
    const bool is_health_check = this->health_response && bytes.starts_with("GET /health ");
    bytes.erase(0, length);
    const auto response =
        is_health_check ? *this->health_response : this->script(this->request_count.fetch_add(1));
    if (response.crash) {
      this->crash();
      return;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{response.delay_ms});
    ::send(connection, response.reply.data(), response.reply.size(), MSG_NOSIGNAL);
    if (response.reset) {
      impl::reset_on_close(connection);
    }
    if (!response.keep_open) {
      return;
    }
  }
}

}  // namespace zinnia::standins
