// The server side of the change relay: sends the store's changes to other nodes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <memory>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/http/caller_connection.hpp"
#include "zinnia/store/change_relay_buffer.hpp"

namespace zinnia {

/// \brief   Responds to nodes that poll for changes (long polling).
/// \details Holds a request until there are changes or its wait time ends. Responds with 503 while this node
///          does not watch the store. Call only from the thread that runs the io_context.
class change_relay_server {
 public:
  change_relay_server(boost::asio::io_context& context, const clock_source& clock_in,
                      const change_relay_buffer& changes_in)
      : clock{clock_in}, changes{changes_in}, timer{context} {}

  /// \brief Handles a request for changes (`change_relay_path`) or for retained state (`peer_state_path`).
  void handle(const std::shared_ptr<caller_exchange>& exchange);
  /// \brief Responds to the held requests for which there are changes or whose wait time has ended.
  void respond_to_held_requests();

 private:
  struct held_request {
    std::shared_ptr<caller_exchange> exchange;
    std::vector<object_version> known;
    /// When to respond even without changes.
    time_point deadline;
  };

  void respond_with_state(caller_exchange& exchange) const;
  /// Returns false if the request has to be held.
  [[nodiscard]] bool try_respond(const held_request& request) const;
  void start_timer();

  const clock_source& clock;
  const change_relay_buffer& changes;
  boost::asio::steady_timer timer;
  std::list<held_request> held_requests;
  bool timer_active{false};
};

}  // namespace zinnia
