// One thread a connection.
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

constexpr int poll_ms = 20;

[[nodiscard]] bool wait_readable(int fd, const std::atomic<bool>& stopping) {
  while (!stopping) {
    pollfd entry{fd, POLLIN, 0};
    if (poll(&entry, 1, poll_ms) > 0) {
      return true;
    }
  }
  return false;
}

/// The length of the whole request if its head is there, otherwise 0.
[[nodiscard]] std::size_t whole_length(const std::string& bytes) {
  const auto head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string::npos) {
    return 0;
  }
  const std::string length_name = "Content-Length: ";
  const auto at = bytes.find(length_name);
  const auto body = at == std::string::npos || at > head_end
                        ? 0
                        : std::strtoul(bytes.c_str() + at + length_name.size(), nullptr, 10);
  return head_end + 4 + body;
}

}  // namespace
}  // namespace impl

scripted_tcp_server::scripted_tcp_server(std::function<scripted_response(int)> script)
    : scripts{std::move(script)} {
  this->listening = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  static_cast<void>(::bind(this->listening, reinterpret_cast<const sockaddr*>(&address), sizeof address));
  ::listen(this->listening, SOMAXCONN);
  socklen_t size = sizeof address;
  getsockname(this->listening, reinterpret_cast<sockaddr*>(&address), &size);
  this->bound_port = ntohs(address.sin_port);
  this->thread = std::thread{[this] { this->run(); }};
}

scripted_tcp_server::~scripted_tcp_server() {
  this->stopping = true;
  this->thread.join();
  ::close(this->listening);
}

void scripted_tcp_server::run() {
  while (impl::wait_readable(this->listening, this->stopping)) {
    const int connection = ::accept(this->listening, nullptr, nullptr);
    if (connection >= 0) {
      this->connections.emplace_back([this, connection] {
        this->serve(connection);
        ::close(connection);
      });
    }
  }
  for (auto& connection : this->connections) {
    connection.join();
  }
}

void scripted_tcp_server::serve(int connection) {
  std::string bytes;
  while (true) {
    std::size_t length = impl::whole_length(bytes);
    while (length == 0 || bytes.size() < length) {
      char chunk[4096];
      const bool readable = impl::wait_readable(connection, this->stopping);
      const auto got = readable ? ::recv(connection, chunk, sizeof chunk, 0) : 0;
      if (got <= 0) {
        return;
      }
      bytes.append(chunk, static_cast<std::size_t>(got));
      length = impl::whole_length(bytes);
    }
    bytes.erase(0, length);
    const auto script = this->scripts(this->request_count.fetch_add(1));
    std::this_thread::sleep_for(std::chrono::milliseconds{script.delay_ms});
    ::send(connection, script.reply.data(), script.reply.size(), MSG_NOSIGNAL);
    if (script.reset) {
      const linger abort{1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    }
    if (!script.keep_open) {
      return;
    }
  }
}

}  // namespace zinnia::standins
