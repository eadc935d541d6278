// A small threaded HTTP server over libmicrohttpd for the stand-ins.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct MHD_Daemon;

namespace zinnia::standins {

struct server_request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  /// Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  /// The connection's socket, to see whether the other side has gone.
  int socket{-1};
};

struct server_response {
  unsigned status{200};
  std::map<std::string, std::string> headers;
  std::string body;
  /// Close the connection without a complete answer.
  bool abort{false};
};

using server_handler = std::function<server_response(const server_request&)>;

/// \brief One thread a connection; runs until destroyed.
class threaded_http_server {
 public:
  /// \param port 0 lets the kernel choose.
  threaded_http_server(std::uint16_t port, server_handler handler);
  threaded_http_server(const threaded_http_server&) = delete;
  threaded_http_server& operator=(const threaded_http_server&) = delete;
  threaded_http_server(threaded_http_server&&) = delete;
  threaded_http_server& operator=(threaded_http_server&&) = delete;
  ~threaded_http_server();

  [[nodiscard]] bool running() const noexcept { return this->daemon != nullptr; }
  [[nodiscard]] std::uint16_t port() const noexcept;
  [[nodiscard]] const server_handler& handler() const noexcept { return this->handle; }

 private:
  server_handler handle;
  MHD_Daemon* daemon{nullptr};
};

/// \brief Whether the other side of a connection has closed it.
[[nodiscard]] bool peer_has_closed(int socket) noexcept;

/// \brief Blocks until SIGTERM or SIGINT.
void wait_for_stop_signal();

/// \brief Blocks the stop signals in this and later threads, for `wait_for_stop_signal`.
void block_stop_signals();

}  // namespace zinnia::standins
