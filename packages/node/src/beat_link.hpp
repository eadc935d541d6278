// The UDP socket over which nodes hear of each other.
#pragma once

#include <functional>
#include <vector>

#include "zinnia/core/endpoint.hpp"
#include "zinnia/membership/member_table.hpp"

namespace zinnia {

/// \brief Sends and receives heartbeats without blocking.
class beat_link {
 public:
  /// \brief Binds to an address; if that fails it is logged and nobody is heard.
  explicit beat_link(const ip_endpoint& endpoint);
  ~beat_link();
  beat_link(const beat_link&) = delete;
  beat_link& operator=(const beat_link&) = delete;
  beat_link(beat_link&&) = delete;
  beat_link& operator=(beat_link&&) = delete;

  void send(const node_heartbeat& beat, const std::vector<member>& peers) const;
  /// \brief  Takes all that has arrived.
  /// \return Datagrams that were no heartbeats.
  int receive(const std::function<void(const node_heartbeat&)>& on_beat) const;
  /// \brief For waiting; -1 if there is no socket.
  [[nodiscard]] int descriptor() const noexcept { return this->socket_descriptor; }

 private:
  int socket_descriptor{-1};
};

}  // namespace zinnia
