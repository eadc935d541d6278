// The kept connections to one backend server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/http/backend_connection.hpp"

namespace zinnia {

/// \brief   Hands out connections to one address, most recently used first.
/// \details Invariant: connections in use and kept together never exceed the limit.
class backend_pool {
 public:
  backend_pool(boost::asio::io_context& context_in, boost::asio::ip::tcp::endpoint address_in,
               const clock_source& clock_in);

  /// \brief A connection for one call, or null when the limit is reached.
  /// \param most Connections that this node may have to the backend server.
  [[nodiscard]] std::shared_ptr<backend_connection> acquire(std::size_t most);
  /// \brief Takes a connection back after its call, whatever its state.
  void release(std::shared_ptr<backend_connection> connection);
  /// \brief Drops connections that are closed or kept too long.
  void close_expired();
  /// \brief Closes all kept connections.
  void close_idle();
  [[nodiscard]] bool is_unused() const noexcept { return this->in_use == 0; }
  [[nodiscard]] const boost::asio::ip::tcp::endpoint& endpoint() const noexcept { return this->address; }

 private:
  boost::asio::io_context& context;
  boost::asio::ip::tcp::endpoint address;
  const clock_source& clock;
  std::vector<std::shared_ptr<backend_connection>> idle;
  std::size_t in_use{0};
};

}  // namespace zinnia
