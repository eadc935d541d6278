// Runs libmicrohttpd in its thread-per-connection mode.
#include "standins/threaded_http_server.hpp"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>

#include <algorithm>
#include <cctype>
#include <csignal>

namespace zinnia::standins {
namespace impl {
namespace {

constexpr unsigned max_connections = 2000;
constexpr unsigned idle_timeout_s = 120;

MHD_Result collect_field(void* fields, MHD_ValueKind /*kind*/, const char* name, const char* value) {
  std::string key{name};
  std::transform(key.begin(), key.end(), key.begin(),
                 [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
  (*static_cast<std::map<std::string, std::string>*>(fields))[key] = value == nullptr ? "" : value;
  return MHD_YES;
}

MHD_Result queue_response(MHD_Connection* connection, const server_response& response) {
  auto* const mhd_response = MHD_create_response_from_buffer(
      response.body.size(), const_cast<char*>(response.body.data()),  // NOLINT: libmicrohttpd copies it
      MHD_RESPMEM_MUST_COPY);
  for (const auto& [name, value] : response.headers) {
    MHD_add_response_header(mhd_response, name.c_str(), value.c_str());
  }
  const auto queued = MHD_queue_response(connection, response.status, mhd_response);
  MHD_destroy_response(mhd_response);
  return queued;
}

MHD_Result on_request(void* context, MHD_Connection* connection, const char* url, const char* method,
                      const char* /*version*/, const char* data, std::size_t* size, void** state) {
  if (*state == nullptr) {
    *state = new server_request{};
    return MHD_YES;
  }
  auto* const request = static_cast<server_request*>(*state);
  if (*size > 0) {
    request->body.append(data, *size);
    *size = 0;
    return MHD_YES;
  }
  request->method = method;
  request->path = url;
  request->socket = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
  MHD_get_connection_values(connection, MHD_HEADER_KIND, collect_field, &request->headers);
  MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collect_field, &request->query);
  const auto response = static_cast<threaded_http_server*>(context)->handler()(*request);
  return response.abort ? MHD_NO : queue_response(connection, response);
}

void on_completed(void* /*context*/, MHD_Connection* /*connection*/, void** state,
                  MHD_RequestTerminationCode /*code*/) {
  delete static_cast<server_request*>(*state);
  *state = nullptr;
}

}  // namespace
}  // namespace impl

threaded_http_server::threaded_http_server(std::uint16_t port, server_handler handler)
    : request_handler{std::move(handler)} {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  this->daemon = MHD_start_daemon(
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL, port, nullptr, nullptr,
      impl::on_request, this, MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_NOTIFY_COMPLETED, impl::on_completed,
      nullptr, MHD_OPTION_CONNECTION_LIMIT, impl::max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
      impl::idle_timeout_s, MHD_OPTION_END);
}

threaded_http_server::~threaded_http_server() {
  if (this->daemon != nullptr) {
    MHD_stop_daemon(this->daemon);
  }
}

std::uint16_t threaded_http_server::port() const noexcept {
  return MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
}

bool peer_has_closed(int socket) noexcept {
  pollfd poll_entry{socket, POLLRDHUP, 0};
  return poll(&poll_entry, 1, 0) > 0 && (poll_entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void block_stop_signals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void wait_for_stop_signal() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace zinnia::standins
