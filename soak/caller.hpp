// A caller with one persistent connection. It writes to the socket directly because an HTTP library might
// retry a request by itself.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "request_history.hpp"
#include "standins/raw_tcp_client.hpp"

namespace zinnia::soak {

class caller {
 public:
  caller(request_history& history_in, std::uint16_t port_in) : history{history_in}, port{port_in} {}

  /// \brief Sends a request and waits for the complete response. Closes the connection after `timeout_ms`.
  [[nodiscard]] request_result send_request(const sent_request& request, int deadline_ms, int timeout_ms);

 private:
  request_history& history;
  std::uint16_t port;
  // Null while there is no connection.
  std::unique_ptr<standins::raw_tcp_client> connection;
};

}  // namespace zinnia::soak
