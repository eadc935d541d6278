// Accepts callers' connections on one address and enforces their time limits.
#pragma once

#include <absl/container/flat_hash_set.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/result.hpp"
#include "zinnia/http/caller_connection.hpp"
#include "zinnia/http/connection_quota.hpp"

namespace zinnia {

/// \brief   An HTTP/1.1 server on one address. Runs on the thread of its context.
/// \details Must not be destroyed before the context has stopped.
class http_listener {
 public:
  /// \param max_connections_in If there are as many connections, the one that deserves it least is closed for
  ///                           a new one. If all are in service, the new one is closed.
  http_listener(boost::asio::io_context& context_in, const clock_source& clock_in,
                std::size_t max_connections_in, request_handler on_request_in);

  /// \brief  Binds to an address and starts to accept connections.
  /// \return The bound port (chosen by the system if port 0 was given), or the error.
  [[nodiscard]] result<std::uint16_t> listen(const boost::asio::ip::tcp::endpoint& address);

  /// \brief Sets what connections and their requests may use; called before `listen`.
  void set_resources(const connection_resources& resources_in) noexcept { this->resources = resources_in; }
  /// \brief Shares the process's connections with other listeners; called before `listen`.
  /// \param reserved The number of connections that this listener can always have.
  void set_connection_quota(connection_quota& quota_in, std::size_t reserved) {
    this->quota = &quota_in;
    this->quota_share = quota_in.add_listener(reserved);
  }
  /// \brief Sets the limits of open and future connections.
  void set_limits(const caller_limits& limits_in) noexcept { this->limits = limits_in; }
  /// \brief Sets what refuses partly read requests of open and future connections.
  void set_partial_request_handler(partial_request_handler handler) {
    this->partial_requests = std::move(handler);
  }
  /// \brief From now on, every response closes its connection. New connections are still accepted.
  void drain();
  /// \brief   Accepts no more connections and reads no more requests.
  /// \details Requests that have begun to arrive, also on connections that were not accepted yet, are read to
  ///          their end and get their responses.
  void stop_reading();
  /// \brief Refuses those partly read requests that their handler now refuses.
  void recheck_partial_requests();
  /// \brief Refuses all partly read requests.
  void refuse_partial_requests(reason why);
  [[nodiscard]] std::size_t open_connections() const noexcept { return this->connections.size(); }
  /// \brief The number of connections that were closed, or not accepted, because there were too many.
  [[nodiscard]] std::uint64_t evicted_connections() const noexcept { return this->evicted_count; }
  /// \brief   Returns the number of connections on which a request is arriving.
  /// \details New connections count until their first request has come or is given up.
  [[nodiscard]] std::size_t arriving_requests() const;
  /// \brief True if any connection has a request in flight or partly read, or output that its caller has not
  ///        received.
  [[nodiscard]] bool has_requests_in_flight() const;

 private:
  void accept_next();
  /// Accepts the connections in the backlog, which would be reset when the acceptor closes.
  void accept_backlog();
  void add_connection(boost::asio::ip::tcp::socket accepted);
  [[nodiscard]] bool has_room() const noexcept;
  /// Closes the connection that deserves it least. Returns false if all are in service.
  [[nodiscard]] bool evict_one();
  /// Collects the connections that deserve it least.
  void find_evictable();
  void remove(const std::shared_ptr<caller_connection>& removed);
  /// Tells the quota how many connections are open.
  void report_open() noexcept;
  [[nodiscard]] std::vector<std::shared_ptr<caller_connection>> current_connections() const;
  void sweep();

  boost::asio::io_context& context;
  const clock_source& clock;
  std::size_t max_connections;
  request_handler on_request;
  caller_limits limits;
  partial_request_handler partial_requests;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer sweep_timer;
  boost::asio::steady_timer accept_retry_timer;
  connection_resources resources;
  // Null if the listener has all descriptors that it may use for itself.
  connection_quota* quota{nullptr};
  std::size_t quota_share{0};
  absl::flat_hash_set<std::shared_ptr<caller_connection>> connections;
  // Connections that may be closed for new ones, the best candidate last. Some may be closed already, or have
  // a better standing by now.
  std::vector<std::weak_ptr<caller_connection>> evictable;
  std::uint64_t evicted_count{0};
  bool draining{false};
};

}  // namespace zinnia
