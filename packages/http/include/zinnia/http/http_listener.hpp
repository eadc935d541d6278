// Accepts callers' connections on one address and keeps their time limits.
#pragma once

#include <absl/container/flat_hash_set.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/http/caller_connection.hpp"

namespace zinnia {

/// \brief   An HTTP/1.1 server on one address, driven by the thread of its context.
/// \details Must be destroyed only after the context has stopped.
class http_listener {
 public:
  /// \param most_connections Connections beyond this number are closed before a byte is read.
  http_listener(boost::asio::io_context& context_in, const clock_source& clock_in,
                std::size_t most_connections, request_handler on_request_in);

  /// \brief  Binds and starts to accept.
  /// \return The port listened on (of use when 0 was given), or why it failed.
  [[nodiscard]] result<std::uint16_t> listen(const boost::asio::ip::tcp::endpoint& address);

  /// \brief Limits for present and later connections.
  void set_limits(const caller_limits& limits_in) noexcept { this->limits = limits_in; }
  /// \brief From now on every answer closes its connection; connections are accepted still.
  void drain();
  /// \brief Accepts no more connections and reads no more requests; those read already are answered.
  void stop_reading();
  [[nodiscard]] std::size_t open_connections() const noexcept { return this->connections.size(); }
  /// \brief Whether any connection has a request under way.
  [[nodiscard]] bool has_requests_in_flight() const;

 private:
  void accept_next();
  void sweep();

  boost::asio::io_context& context;
  const clock_source& clock;
  std::size_t connection_limit;
  request_handler on_request;
  caller_limits limits;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer sweep_timer;
  boost::asio::steady_timer accept_pause;
  absl::flat_hash_set<std::shared_ptr<caller_connection>> connections;
  bool draining{false};
};

}  // namespace zinnia
