// Sends this node's holder notices and crash reports to other nodes and receives theirs.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/endpoint.hpp"
#include "zinnia/membership/holder_notice_codec.hpp"
#include "zinnia/observe/metrics.hpp"

namespace zinnia {

/// \brief   Exchanges notices by UDP on the traffic thread. A lost notice costs at most a slow request.
/// \details Notices wait a short time for others, so that a burst needs few datagrams.
class notice_exchange {
 public:
  using notice_handler = std::function<void(const node_notices&)>;

  /// \param address Port 0 lets the system choose a port.
  notice_exchange(boost::asio::io_context& context, const ip_endpoint& address, metrics& counts_in,
                  notice_handler on_notices_in);

  /// \brief Returns the bound port, or 0 if the socket could not be opened.
  [[nodiscard]] std::uint16_t port() const noexcept { return this->bound_port; }
  /// \param holder_peers_in Nodes that get holder notices.
  /// \param report_peers_in Nodes that get crash reports.
  void set_peers(const std::vector<ip_endpoint>& holder_peers_in,
                 const std::vector<ip_endpoint>& report_peers_in);
  /// \brief Adds notices to those that wait, and sends all when they are due. Called every few milliseconds.
  void offer(std::vector<holder_notice> notices, time_point now);
  /// \brief Sends reports to all their peers at once.
  void send(std::span<const crash_report> reports);
  /// \brief Sends asks or grants to one address at once.
  void send(const ip_endpoint& to, const account_messages& messages);
  /// \brief Sends reports to a few peers, to others each time.
  void repeat(std::span<const crash_report> reports);

 private:
  void receive_next();
  void receive_all();
  void send_all();
  void send_datagram(const std::string& datagram, const boost::asio::ip::udp::endpoint& peer);

  boost::asio::ip::udp::socket socket;
  std::uint16_t bound_port{0};
  metrics& counts;
  notice_handler on_notices;
  std::vector<boost::asio::ip::udp::endpoint> holder_peers;
  std::vector<boost::asio::ip::udp::endpoint> report_peers;
  // Counts the peers to which reports were repeated.
  std::size_t repeated_to{0};
  std::vector<holder_notice> waiting;
  time_point due{far_future};
};

}  // namespace zinnia
