// Non-blocking UDP socket calls, one heartbeat in each datagram.
#include "heartbeat_socket.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>

#include "zinnia/membership/heartbeat_codec.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::size_t max_datagram_bytes = 2048;

[[nodiscard]] sockaddr_in to_sockaddr(const ip_endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

}  // namespace
}  // namespace impl

heartbeat_socket::heartbeat_socket(const ip_endpoint& endpoint)
    : socket_descriptor{socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)} {
  const auto address = impl::to_sockaddr(endpoint);
  const bool is_bound =
      this->socket_descriptor >= 0 &&
      bind(this->socket_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
  if (!is_bound) {
    log_line{log_level::error, "heartbeats_unavailable"}
        .field("address", endpoint.str())
        .field("cause", std::strerror(errno));
  }
}

heartbeat_socket::~heartbeat_socket() {
  if (this->socket_descriptor >= 0) {
    close(this->socket_descriptor);
  }
}

void heartbeat_socket::send(const node_heartbeat& message, const std::vector<member>& peers) const {
  const auto datagram = encode_heartbeat(message);
  for (const auto& peer : peers) {
    const auto address = impl::to_sockaddr(peer.peer_address);
    // Errors are ignored: the next heartbeat replaces a lost datagram.
    static_cast<void>(sendto(this->socket_descriptor, datagram.data(), datagram.size(), 0,
                             reinterpret_cast<const sockaddr*>(&address), sizeof address));
  }
}

int heartbeat_socket::receive(const std::function<void(const node_heartbeat&)>& on_heartbeat) const {
  std::array<char, impl::max_datagram_bytes> buffer{};
  int malformed = 0;
  while (true) {
    const auto bytes = recv(this->socket_descriptor, buffer.data(), buffer.size(), 0);
    if (bytes <= 0) {
      return malformed;
    }
    const auto message = decode_heartbeat({buffer.data(), static_cast<std::size_t>(bytes)});
    if (message) {
      on_heartbeat(*message);
    } else {
      ++malformed;
    }
  }
}

}  // namespace zinnia
