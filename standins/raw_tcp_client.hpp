// A TCP client for tests: sends bytes as given and reads what comes back.
#pragma once

#include <cstdint>
#include <string>

namespace zinnia::standins {

/// \brief One connection to a port of this machine; closed on destruction.
class raw_tcp_client {
 public:
  explicit raw_tcp_client(std::uint16_t port);
  raw_tcp_client(const raw_tcp_client&) = delete;
  raw_tcp_client& operator=(const raw_tcp_client&) = delete;
  raw_tcp_client(raw_tcp_client&&) = delete;
  raw_tcp_client& operator=(raw_tcp_client&&) = delete;
  ~raw_tcp_client();

  void send(const std::string& bytes) const;
  /// \brief Reads until the text is in what was read, the other side closes, or the limit is over.
  [[nodiscard]] std::string read_until(const std::string& text, int limit_ms = 3000);
  /// \brief Reads until the other side closes or the limit is over.
  [[nodiscard]] std::string read_all(int limit_ms = 3000);
  /// \brief Whether the other side has closed; valid after reading.
  [[nodiscard]] bool is_closed() const noexcept { return this->closed; }
  void close();

 private:
  int descriptor;
  bool closed{false};
  std::string received;
};

}  // namespace zinnia::standins
