// Blocking HTTP/1.1 over loopback sockets, as far as the stand-ins need it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace review {

/// \brief A TCP socket that is closed with the object.
class tcp_socket {
 public:
  tcp_socket() = default;
  explicit tcp_socket(int descriptor_in) : descriptor{descriptor_in} {}
  tcp_socket(const tcp_socket&) = delete;
  tcp_socket& operator=(const tcp_socket&) = delete;
  tcp_socket(tcp_socket&& other) noexcept;
  tcp_socket& operator=(tcp_socket&& other) noexcept;
  ~tcp_socket();

  /// \brief Connects within a second; the result is not open if that fails.
  [[nodiscard]] static tcp_socket connect_to(const std::string& ip, std::uint16_t port);
  /// \brief Listens at the address; port 0 lets the system choose one.
  [[nodiscard]] static tcp_socket listen_at(const std::string& ip, std::uint16_t port);
  [[nodiscard]] tcp_socket accept_next() const;

  [[nodiscard]] bool is_open() const noexcept { return this->descriptor >= 0; }
  [[nodiscard]] std::uint16_t port() const;
  void set_receive_timeout(int timeout_ms) const;
  /// \brief Returns false if the connection has ended.
  [[nodiscard]] bool send_all(const std::string& bytes) const;
  /// \brief Appends what arrives next; returns false at the end of the connection or after the time limit.
  [[nodiscard]] bool receive(std::string& buffer) const;
  void close_now();

 private:
  int descriptor{-1};
};

/// \brief A request or a response. Names of fields are in lower case.
struct http_message {
  /// Request: method and target. Response: empty.
  std::string method;
  std::string target;
  /// Response: the status.
  int status{0};
  std::map<std::string, std::string> fields;
  std::string body;

  [[nodiscard]] std::string field(const std::string& name) const;
};

/// \brief Reads messages from one connection. Bytes after a message are kept for the next one.
class message_reader {
 public:
  explicit message_reader(const tcp_socket& socket_in) : socket{socket_in} {}
  /// \brief Reads a message with its whole body; nullopt if the connection ends before that.
  [[nodiscard]] std::optional<http_message> next();
  /// \brief True if a part of a message has arrived.
  [[nodiscard]] bool has_partial() const noexcept { return !this->buffer.empty(); }

 private:
  [[nodiscard]] bool read_chunks(std::string& body);
  [[nodiscard]] bool read_until(std::size_t size);

  const tcp_socket& socket;
  std::string buffer;
};

}  // namespace review
