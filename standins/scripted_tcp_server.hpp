// A TCP server that sends scripted responses, to produce faults that an HTTP library would not.
#pragma once

#include <atomic>
#include <cstddef>
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
  /// Sent after `reply` until the peer closes or `max_repeated_bytes` are sent; nothing if empty.
  std::string repeated{};
  /// Bytes that are read after the response, before the delay and the close.
  std::size_t read_bytes{0};
  /// Delay before the connection closes, in ms.
  int close_delay_ms{0};
  /// Ends the stream after the response, and reads what the peer sends until it closes.
  bool half_close{false};
};

/// \brief When the server responds to a request with a body.
enum class response_time : unsigned char { after_body, after_head };

/// \brief   Listens on a loopback port and responds to the n-th request with `script(n)`.
/// \details Requests are counted from 0 over all connections. Each connection has its own thread, so `script`
///          must be thread safe.
class scripted_tcp_server {
 public:
  static constexpr std::size_t max_repeated_bytes = 256 << 20;

  /// \param health_response_in Sent for requests to "/health", which are not counted and not passed to
  ///                           the script. Without it they are like all others.
  /// \param response_time_in   With `after_head` bodies are not read, so a connection takes one request.
  explicit scripted_tcp_server(std::function<scripted_response(int)> script_in,
                               std::optional<scripted_response> health_response_in = std::nullopt,
                               response_time response_time_in = response_time::after_body);
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
  /// \brief Returns the number of bytes sent in responses.
  [[nodiscard]] std::size_t sent_bytes() const noexcept { return this->sent_byte_count.load(); }
  /// \brief True once a request has crashed the server.
  [[nodiscard]] bool has_crashed() const noexcept { return this->crashed.load(); }

 private:
  void accept_connections();
  void crash();
  void serve(int connection);
  void send_response(int connection, const scripted_response& response);
  [[nodiscard]] bool send_all(int connection, const std::string& bytes);

  std::function<scripted_response(int)> script;
  std::optional<scripted_response> health_response;
  response_time when;
  int listening_socket{-1};
  std::uint16_t bound_port{0};
  std::atomic<int> request_count{0};
  std::atomic<int> connection_count{0};
  std::atomic<std::size_t> sent_byte_count{0};
  std::atomic<bool> stopping{false};
  std::atomic<bool> crashed{false};
  /// Started and joined only by `accept_thread`.
  std::vector<std::thread> connection_threads;
  std::thread accept_thread;
};

}  // namespace zinnia::standins
