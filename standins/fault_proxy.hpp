// A TCP proxy on the loopback address that can delay, reset or stall its connections, or stall only what
// the target sends.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace zinnia::standins {

enum class link_state : unsigned char {
  open,
  /// Each read chunk is forwarded with a delay of 150 ms.
  slow,
  /// Existing and new connections are reset.
  reset,
  /// As when the target's process has ended: existing connections are reset and new ones refused.
  refused,
  /// Existing connections work and new ones are refused.
  half_open,
  /// No data is forwarded. Connections stay open, and the pending data is forwarded once the state changes.
  stalled,
  /// Like `stalled`, but only for data sent by the target.
  stalled_responses,
};

/// \brief   Forwards connections to a target address on this machine.
/// \details Runs on the thread of its I/O context, which must have ended before the proxy is destroyed.
///          `set_state` is thread-safe.
class fault_proxy {
 public:
  fault_proxy(boost::asio::io_context& context_in, const std::string& target_ip, std::uint16_t target_port);

  [[nodiscard]] std::uint16_t port() const { return this->listener.local_endpoint().port(); }
  void set_state(link_state state_in);

 private:
  struct proxied_connection;

  /// Returns true for states in which the proxy does not listen.
  [[nodiscard]] static bool refuses(link_state which) noexcept;
  /// Listens again after such a state.
  void reopen();
  void accept();
  void read_next(const std::shared_ptr<proxied_connection>& connection, bool from_target);
  void forward(const std::shared_ptr<proxied_connection>& connection, bool from_target,
               std::size_t byte_count, bool is_delayed);
  static void reset_connection(proxied_connection& connection);

  boost::asio::io_context& context;
  boost::asio::ip::tcp::endpoint target;
  boost::asio::ip::tcp::acceptor listener;
  std::atomic<link_state> state{link_state::open};
  std::set<std::shared_ptr<proxied_connection>> connections;
};

}  // namespace zinnia::standins
