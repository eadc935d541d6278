// The connection pool of one backend server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/http/backend_connection.hpp"

namespace zinnia {

/// \brief   Lends connections to a backend server; the most recently used idle connection is reused first.
/// \details Invariant: connections in use and idle connections together never exceed the limit.
class backend_pool {
 public:
  backend_pool(boost::asio::io_context& context_in, boost::asio::ip::tcp::endpoint address_in,
               const clock_source& clock_in);

  /// \brief Returns a connection for one call, or null if the limit is reached.
  /// \param max_connections The number of connections that this node may have to the backend server.
  /// \param id              The call's identifier; a connection that has carried it before is not used.
  [[nodiscard]] std::shared_ptr<backend_connection> acquire(std::size_t max_connections,
                                                            std::string_view id = {});
  /// \brief Returns a connection to the pool after its call, in any state. Closes it if it is not reusable.
  void release(std::shared_ptr<backend_connection> connection);
  /// \brief   Directs all further calls to another address.
  /// \details Closes idle connections to the old address; those in use are closed when they are returned.
  void set_endpoint(const boost::asio::ip::tcp::endpoint& address_in);
  /// \brief Removes idle connections that the peer closed or whose idle timeout has passed.
  void close_expired();
  /// \brief Closes all idle connections.
  void close_idle();
  /// \brief True if an idle connection could be used for a call.
  [[nodiscard]] bool has_reusable() const;
  /// \brief True if any connection is established and either idle or lent out for a call that has not been
  ///        without a response for `max_silence`.
  [[nodiscard]] bool has_established(duration max_silence) const;
  /// \brief True if no connection is lent out.
  [[nodiscard]] bool is_unused() const noexcept { return this->lent.empty(); }
  [[nodiscard]] const boost::asio::ip::tcp::endpoint& endpoint() const noexcept { return this->address; }

 private:
  boost::asio::io_context& context;
  boost::asio::ip::tcp::endpoint address;
  const clock_source& clock;
  std::vector<std::shared_ptr<backend_connection>> idle;
  std::vector<std::shared_ptr<backend_connection>> lent;
};

}  // namespace zinnia
