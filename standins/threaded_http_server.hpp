// A small threaded HTTP server over libmicrohttpd. The stand-ins and tests serve the object store, backend
// servers and other HTTP peers of a node with it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct MHD_Daemon;

namespace zinnia::standins {

/// \brief A complete request as the handler receives it.
struct server_request {
  std::string method;
  std::string path;
  /// Decoded query parameters, with names in lower case.
  std::map<std::string, std::string> query;
  /// Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  /// File descriptor of the connection, for `peer_has_closed`.
  int socket{-1};
};

/// \brief The handler's response to one request.
struct server_response {
  unsigned status{200};
  std::map<std::string, std::string> headers;
  std::string body;
  /// Closes the connection without sending a response; the other fields are ignored.
  bool abort{false};
};

using server_handler = std::function<server_response(const server_request&)>;

/// \brief   Serves HTTP on the loopback address, with one thread per connection, until destroyed.
/// \details The handler runs on the connections' threads, so it must be thread safe.
class threaded_http_server {
 public:
  /// \param port Port to listen on; 0 lets the kernel choose.
  threaded_http_server(std::uint16_t port, server_handler handler);
  threaded_http_server(const threaded_http_server&) = delete;
  threaded_http_server& operator=(const threaded_http_server&) = delete;
  threaded_http_server(threaded_http_server&&) = delete;
  threaded_http_server& operator=(threaded_http_server&&) = delete;
  ~threaded_http_server();

  /// \brief Returns false if the server could not listen on its port.
  [[nodiscard]] bool is_running() const noexcept { return this->daemon != nullptr; }
  /// \brief   Returns the port that the server listens on.
  /// \details The server must be running.
  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] const server_handler& handler() const noexcept { return this->request_handler; }

 private:
  server_handler request_handler;
  MHD_Daemon* daemon{nullptr};
};

/// \brief Returns true if the peer has closed its side of the connection.
[[nodiscard]] bool peer_has_closed(int socket) noexcept;

/// \brief Waits until the process receives SIGTERM or SIGINT; `block_stop_signals` must have been called.
void wait_for_stop_signal();

/// \brief Blocks SIGTERM and SIGINT in this thread and in threads that it starts later, so that
///        `wait_for_stop_signal` receives them.
void block_stop_signals();

}  // namespace zinnia::standins
