// A TCP client for tests that sends bytes unchanged and collects the bytes that it receives.
#pragma once

#include <cstdint>
#include <string>

namespace zinnia::standins {

/// \brief One blocking connection to a loopback address; closed on destruction.
class raw_tcp_client {
 public:
  /// \brief Connects to 127.0.0.1.
  explicit raw_tcp_client(std::uint16_t port) : raw_tcp_client{"127.0.0.1", port} {}
  raw_tcp_client(const std::string& ip, std::uint16_t port);
  raw_tcp_client(const raw_tcp_client&) = delete;
  raw_tcp_client& operator=(const raw_tcp_client&) = delete;
  raw_tcp_client(raw_tcp_client&&) = delete;
  raw_tcp_client& operator=(raw_tcp_client&&) = delete;
  ~raw_tcp_client();

  /// \brief Sends all bytes, or stops without an error when the connection fails.
  void send(const std::string& bytes);
  /// \brief  Waits for bytes until the peer closes or `timeout_ms` has passed.
  /// \return The bytes that arrived; empty if the connection is closed or the time has passed.
  [[nodiscard]] std::string read_some(int timeout_ms);
  /// \brief Reads until the received bytes contain `text`, the peer closes, or `timeout_ms` has passed.
  /// \return All bytes received on the connection so far.
  [[nodiscard]] std::string read_until(const std::string& text, int timeout_ms = 3000);
  /// \brief Reads until the peer closes or `timeout_ms` has passed.
  /// \return All bytes received on the connection so far.
  [[nodiscard]] std::string read_all(int timeout_ms = 3000);
  /// \brief Returns true if a read or a write found the connection closed, or if connecting failed.
  [[nodiscard]] bool is_closed() const noexcept { return this->closed; }
  void close();

 private:
  int descriptor;
  bool closed{false};
  std::string received;
};

}  // namespace zinnia::standins
