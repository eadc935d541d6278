// The UDP socket over which nodes exchange heartbeats.
#pragma once

#include <functional>
#include <vector>

#include "zinnia/core/endpoint.hpp"
#include "zinnia/membership/member_table.hpp"

namespace zinnia {

/// \brief Sends and receives heartbeats without blocking.
class heartbeat_socket {
 public:
  /// \brief Binds to an address. A failure is logged, and no heartbeats are received then.
  explicit heartbeat_socket(const ip_endpoint& endpoint);
  ~heartbeat_socket();
  heartbeat_socket(const heartbeat_socket&) = delete;
  heartbeat_socket& operator=(const heartbeat_socket&) = delete;
  heartbeat_socket(heartbeat_socket&&) = delete;
  heartbeat_socket& operator=(heartbeat_socket&&) = delete;

  void send(const node_heartbeat& message, const std::vector<member>& peers) const;
  /// \brief  Reads all datagrams that have arrived.
  /// \return The number of datagrams that are not valid heartbeats.
  int receive(const std::function<void(const node_heartbeat&)>& on_heartbeat) const;
  /// \brief The file descriptor to poll, or -1 if there is no socket.
  [[nodiscard]] int descriptor() const noexcept { return this->socket_descriptor; }

 private:
  int socket_descriptor{-1};
};

}  // namespace zinnia
