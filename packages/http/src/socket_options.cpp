// Sets socket options with setsockopt, since Asio has no types for most of them.
#include "zinnia/http/socket_options.hpp"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "zinnia/core/tcp_timeouts.hpp"

namespace zinnia {
namespace impl {
namespace {

void set_option(int descriptor, int level, int name, int value) noexcept {
  // Errors are ignored: without an option the node still works, but detects an unresponsive peer later.
  static_cast<void>(setsockopt(descriptor, level, name, &value, sizeof value));
}

}  // namespace
}  // namespace impl

void set_caller_tcp_options(int descriptor) noexcept {
  impl::set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  impl::set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  impl::set_option(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_interval_s);
  impl::set_option(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
  impl::set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

void set_tcp_options(int descriptor) noexcept {
  set_caller_tcp_options(descriptor);
  impl::set_option(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(tcp_user_timeout.ms));
}

std::size_t unacknowledged_bytes(int descriptor) noexcept {
  int bytes = 0;
  return ioctl(descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

void set_receive_window(int descriptor, std::size_t bytes) noexcept {
  // The system doubles the value for its own overhead. TCP_WINDOW_CLAMP would not do: automatic tuning of the
  // buffer raises it.
  impl::set_option(descriptor, SOL_SOCKET, SO_RCVBUF, static_cast<int>(bytes));
}

}  // namespace zinnia
