// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the scripts: messages, a server and a client.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace review {

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

struct address {
  std::string ip;
  int port{0};

  [[nodiscard]] std::string text() const { return this->ip + ':' + std::to_string(this->port); }
  [[nodiscard]] sockaddr_in native() const {
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(this->port));
    inet_pton(AF_INET, this->ip.c_str(), &made.sin_addr);
    return made;
  }
};

[[nodiscard]] inline address parse_address(const std::string& text) {
  const auto colon = text.find(':');
  return {text.substr(0, colon), std::atoi(text.c_str() + colon + 1)};
}

struct http_message {
  std::string first_line;
  /// Names in lower case.
  std::map<std::string, std::string> fields;
  std::string body;

  [[nodiscard]] std::string field(const std::string& name) const {
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string{} : found->second;
  }
  [[nodiscard]] std::string word(std::size_t position) const {
    std::size_t begin = 0;
    for (; position > 0; --position) {
      begin = this->first_line.find(' ', begin) + 1;
    }
    return this->first_line.substr(begin, this->first_line.find(' ', begin) - begin);
  }
  [[nodiscard]] int status() const { return std::atoi(this->word(1).c_str()); }
};

/// \brief An open socket with what has been read and not been used yet. Closed by the destructor.
class stream {
 public:
  explicit stream(int descriptor_in) : descriptor{descriptor_in} {}
  stream(const stream&) = delete;
  stream& operator=(const stream&) = delete;
  stream(stream&&) = delete;
  stream& operator=(stream&&) = delete;
  ~stream() { close(this->descriptor); }

  [[nodiscard]] int native() const noexcept { return this->descriptor; }
  [[nodiscard]] bool has_input() const noexcept { return !this->input.empty(); }

  [[nodiscard]] bool write(std::string_view bytes) const {
    while (!bytes.empty()) {
      const auto sent = send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  /// \brief Reads a message whose body has a length; nothing at the end, at an error or after `until`.
  [[nodiscard]] std::optional<http_message> read(steady::time_point until) {
    std::size_t head_end = 0;
    while ((head_end = this->input.find("\r\n\r\n")) == std::string::npos) {
      if (!this->fill(until)) {
        return std::nullopt;
      }
    }
    http_message read;
    std::size_t begin = 0;
    while (begin < head_end) {
      const auto end = std::min(this->input.find("\r\n", begin), head_end);
      const auto line = this->input.substr(begin, end - begin);
      if (read.first_line.empty()) {
        read.first_line = line;
      } else if (const auto colon = line.find(':'); colon != std::string::npos) {
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        read.fields[name] = value == std::string::npos ? "" : line.substr(value);
      }
      begin = end + 2;
    }
    this->input.erase(0, head_end + 4);
    const auto length = std::strtoull(read.field("content-length").c_str(), nullptr, 10);
    while (this->input.size() < length) {
      if (!this->fill(until)) {
        return std::nullopt;
      }
    }
    read.body = this->input.substr(0, length);
    this->input.erase(0, length);
    return read;
  }

  /// \brief True if the peer has closed the connection.
  [[nodiscard]] bool is_closed() const {
    char next = 0;
    const auto got = recv(this->descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

 private:
  [[nodiscard]] bool fill(steady::time_point until) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
    pollfd waited{this->descriptor, POLLIN, 0};
    if (left <= 0 || poll(&waited, 1, static_cast<int>(std::min<std::int64_t>(left, 100'000))) <= 0) {
      return false;
    }
    constexpr std::size_t piece_bytes = 64 << 10;
    std::string piece(piece_bytes, '\0');
    const auto got = recv(this->descriptor, piece.data(), piece.size(), 0);
    if (got <= 0) {
      return false;
    }
    this->input.append(piece, 0, static_cast<std::size_t>(got));
    return true;
  }

  int descriptor;
  std::string input;
};

inline void set_no_delay(int descriptor) {
  const int enabled = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

/// \brief Connects within the time; null if that fails.
[[nodiscard]] inline std::unique_ptr<stream> connect_to(const address& target, milliseconds within) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  auto made = std::make_unique<stream>(descriptor);
  const auto native = target.native();
  int problem =
      connect(descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native) == 0 ? 0 : errno;
  if (problem == EINPROGRESS) {
    pollfd waited{descriptor, POLLOUT, 0};
    socklen_t size = sizeof problem;
    if (poll(&waited, 1, static_cast<int>(within.count())) <= 0 ||
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &problem, &size) != 0) {
      return nullptr;
    }
  }
  if (problem != 0) {
    return nullptr;
  }
  fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
  set_no_delay(descriptor);
  return made;
}

/// \brief Listens on an address; a port of 0 takes a free one.
class listener {
 public:
  explicit listener(const address& wanted)
      : descriptor{socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}, bound{wanted} {
    const int enabled = 1;
    setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const auto native = wanted.native();
    constexpr int backlog = 512;
    if (bind(this->descriptor, reinterpret_cast<const sockaddr*>(&native), sizeof native) != 0 ||
        listen(this->descriptor, backlog) != 0) {
      throw std::runtime_error{"cannot listen on " + wanted.text()};
    }
    sockaddr_in taken{};
    socklen_t size = sizeof taken;
    getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&taken), &size);
    this->bound.port = ntohs(taken.sin_port);
  }
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;
  listener(listener&&) = delete;
  listener& operator=(listener&&) = delete;
  ~listener() { close(this->descriptor); }

  [[nodiscard]] const address& where() const noexcept { return this->bound; }

  /// \brief Serves each connection on a thread of its own, for as long as the process runs.
  void serve(std::function<void(stream&)> on_connection) {
    std::thread{[this, on_connection = std::move(on_connection)] {
      while (true) {
        const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
          return;
        }
        set_no_delay(accepted);
        std::thread{[accepted, on_connection] {
          stream connection{accepted};
          on_connection(connection);
        }}.detach();
      }
    }}.detach();
  }
  /// \brief Refuses connections from now on.
  void stop() const { shutdown(this->descriptor, SHUT_RDWR); }

 private:
  int descriptor;
  address bound;
};

}  // namespace review
