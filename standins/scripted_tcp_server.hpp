// A TCP server that follows a script, for faults that an HTTP library would not produce.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace zinnia::standins {

/// \brief What the server does with a connection.
struct scripted_response {
  /// Bytes to send back.
  std::string reply;
  /// Keep the connection and play the script again for the next request.
  bool keep_open{false};
  /// Wait so long before replying.
  int delay_ms{0};
  /// End with a reset instead of an orderly close.
  bool reset{false};
};

/// \brief Plays `script(n)` for the n-th request, counted from 0 over all connections.
class scripted_tcp_server {
 public:
  explicit scripted_tcp_server(std::function<scripted_response(int)> script);
  scripted_tcp_server(const scripted_tcp_server&) = delete;
  scripted_tcp_server& operator=(const scripted_tcp_server&) = delete;
  scripted_tcp_server(scripted_tcp_server&&) = delete;
  scripted_tcp_server& operator=(scripted_tcp_server&&) = delete;
  ~scripted_tcp_server();

  [[nodiscard]] std::uint16_t port() const noexcept { return this->bound_port; }
  /// \brief Requests that arrived whole.
  [[nodiscard]] int requests() const noexcept { return this->request_count.load(); }

 private:
  void run();
  void serve(int connection);

  std::function<scripted_response(int)> scripts;
  int listening{-1};
  std::uint16_t bound_port{0};
  std::atomic<int> request_count{0};
  std::atomic<bool> stopping{false};
  std::vector<std::thread> connections;
  std::thread thread;
};

}  // namespace zinnia::standins
