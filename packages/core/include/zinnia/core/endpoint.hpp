// An IPv4 address with a port, in the text form used by settings, the store and heartbeats.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "zinnia/core/result.hpp"

namespace zinnia {

/// \brief An address to listen on or to connect to. When listening, port 0 lets the kernel choose a port.
struct ip_endpoint {
  std::string ip;
  std::uint16_t port{0};

  /// \brief Returns "ip:port".
  [[nodiscard]] std::string str() const { return this->ip + ':' + std::to_string(this->port); }
  friend bool operator==(const ip_endpoint& a, const ip_endpoint& b) noexcept {
    return a.ip == b.ip && a.port == b.port;
  }
};

/// \brief  Parses "ip:port".
/// \return An error with code `invalid_setting` unless the text is an IPv4 address in dotted form and a port
///         from 0 to 65535.
[[nodiscard]] result<ip_endpoint> parse_endpoint(std::string_view text);

}  // namespace zinnia
