// Sends this node's holder notices to the other serving nodes and receives theirs.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/observe/metrics.hpp"
#include "zinnia/routing/holder_notice.hpp"

namespace zinnia {

/// \brief   Exchanges notices by UDP on the traffic thread. A lost notice costs at most a slow request.
/// \details Notices wait a short time for others, so that a burst needs few datagrams.
class notice_exchange {
 public:
  using notice_handler = std::function<void(const std::vector<holder_notice>&)>;

  /// \param address Port 0 lets the system choose a port.
  notice_exchange(boost::asio::io_context& context, const ip_endpoint& address, metrics& counts_in,
                  notice_handler on_notices_in);

  /// \brief Returns the bound port, or 0 if the socket could not be opened.
  [[nodiscard]] std::uint16_t port() const noexcept { return this->bound_port; }
  void set_peers(const std::vector<ip_endpoint>& peers_in);
  /// \brief Adds notices to those that wait, and sends all when they are due. Called every few milliseconds.
  void offer(std::vector<holder_notice> notices, time_point now);

 private:
  void receive_next();
  void receive_all();
  void send_all();

  boost::asio::ip::udp::socket socket;
  std::uint16_t bound_port{0};
  metrics& counts;
  notice_handler on_notices;
  std::vector<boost::asio::ip::udp::endpoint> peers;
  std::vector<holder_notice> waiting;
  time_point due{far_future};
};

}  // namespace zinnia
