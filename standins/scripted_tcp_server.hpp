// A TCP server that sends scripted responses, to produce faults that an HTTP library would not.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace zinnia::standins {

/// \brief How the server responds to one request.
struct scripted_response {
  /// Bytes to send.
  std::string reply;
  /// Keeps the connection open for further requests; otherwise it closes after the response.
  bool keep_open{false};
  /// Delay before the bytes are sent, in ms.
  int delay_ms{0};
  /// Closes the connection with a TCP reset.
  bool reset{false};
  /// Stops listening and resets all connections, as when the process ends; nothing is sent.
  bool crash{false};
};

/// \brief   Listens on a loopback port and responds to the n-th request with `script(n)`.
/// \details Requests are counted from 0 over all connections. Each connection has its own thread, so `script`
///          must be thread safe.
class scripted_tcp_server {
 public:
  /// \param health_response_in Sent for requests to "/health", which are not counted and not passed to
  ///                           the script. Without it they are like all others.
  explicit scripted_tcp_server(std::function<scripted_response(int)> script_in,
                               std::optional<scripted_response> health_response_in = std::nullopt);
  scripted_tcp_server(const scripted_tcp_server&) = delete;
  scripted_tcp_server& operator=(const scripted_tcp_server&) = delete;
  scripted_tcp_server(scripted_tcp_server&&) = delete;
  scripted_tcp_server& operator=(scripted_tcp_server&&) = delete;
  ~scripted_tcp_server();

  [[nodiscard]] std::uint16_t port() const noexcept { return this->bound_port; }
  /// \brief Returns the number of complete requests received.
  [[nodiscard]] int requests() const noexcept { return this->request_count.load(); }
  /// \brief Returns the number of connections accepted, those of health checks included.
  [[nodiscard]] int connections() const noexcept { return this->connection_count.load(); }
  /// \brief True once a request has crashed the server.
  [[nodiscard]] bool has_crashed() const noexcept { return this->crashed.load(); }

 private:
  void accept_connections();
  void crash();
  void serve(int connection);

  std::function<scripted_response(int)> script;
  std::optional<scripted_response> health_response;
  int listening_socket{-1};
  std::uint16_t bound_port{0};
  std::atomic<int> request_count{0};
  std::atomic<int> connection_count{0};
  std::atomic<bool> stopping{false};
  std::atomic<bool> crashed{false};
  /// Started and joined only by `accept_thread`.
  std::vector<std::thread> connection_threads;
  std::thread accept_thread;
};

}  // namespace zinnia::standins
