// A TCP proxy on the loopback address that delays, resets, silences or cuts connections one way.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace zinnia::soak {

enum class link_state : unsigned char {
  open,
  /// Each piece is passed on 150 ms late.
  slow,
  /// New and present connections are reset.
  reset,
  /// Nothing passes; connections stay open, and what was sent arrives once the link is open again.
  silent,
  /// The same, but only for what the called side sends.
  silent_answers,
};

/// \brief   Passes connections on to an address of this machine.
/// \details Runs on the thread of its context, which must have ended before the proxy is destroyed; `set` may
/// be
///          called from any thread.
class fault_proxy {
 public:
  fault_proxy(boost::asio::io_context& context_in, const std::string& target_ip, std::uint16_t target_port);

  [[nodiscard]] std::uint16_t port() const { return this->listening.local_endpoint().port(); }
  void set(link_state state_in);

 private:
  struct link;

  void accept();
  void pump(const std::shared_ptr<link>& which, bool answers);
  void pass_on(const std::shared_ptr<link>& which, bool answers, std::size_t bytes, bool delayed);
  static void break_off(link& which);

  boost::asio::io_context& context;
  boost::asio::ip::tcp::endpoint target;
  boost::asio::ip::tcp::acceptor listening;
  std::atomic<link_state> state{link_state::open};
  std::set<std::shared_ptr<link>> links;
};

}  // namespace zinnia::soak
