// Parses endpoints with inet_pton and std::from_chars.
#include "zinnia/core/endpoint.hpp"

#include <arpa/inet.h>

#include <charconv>

namespace zinnia {

result<ip_endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  const auto syntax_error = [&] {
    return error{reason::invalid_setting,
                 "'" + std::string{text} +
                     "'; allowed: an IPv4 address and a port of 0 to 65535, as in "
                     "10.1.0.35:8144",
                 ""};
  };
  if (colon == std::string_view::npos) {
    return syntax_error();
  }
  ip_endpoint parsed;
  parsed.ip = std::string{text.substr(0, colon)};
  in_addr address{};
  const char* const end = text.data() + text.size();
  const auto port = std::from_chars(text.data() + colon + 1, end, parsed.port);
  // inet_pton would read the part before a NUL only.
  const bool has_nul = parsed.ip.find('\0') != std::string::npos;
  if (has_nul || inet_pton(AF_INET, parsed.ip.c_str(), &address) != 1 || port.ec != std::errc{} ||
      port.ptr != end) {
    return syntax_error();
  }
  return parsed;
}

}  // namespace zinnia
