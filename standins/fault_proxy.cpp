// Each connection has two loops that read and forward, one per direction.
#include "standins/fault_proxy.hpp"

#include <sys/socket.h>

#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>

namespace zinnia::standins {
namespace impl {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::chrono::milliseconds slow_delay{150};
/// The interval at which a stalled direction checks the state again.
constexpr std::chrono::milliseconds stall_poll_interval{20};
constexpr std::size_t buffer_bytes = 16 << 10;

}  // namespace
}  // namespace impl

struct fault_proxy::proxied_connection {
  proxied_connection(boost::asio::io_context& context, boost::asio::ip::tcp::socket accepted)
      : sockets{std::move(accepted), boost::asio::ip::tcp::socket{context}},
        timers{boost::asio::steady_timer{context}, boost::asio::steady_timer{context}} {}

  // Index 0 is the connecting side and 1 the target. Each direction reads from one and writes to the other;
  // its timer and buffer have the index of the side that it reads.
  std::array<boost::asio::ip::tcp::socket, 2> sockets;
  std::array<boost::asio::steady_timer, 2> timers;
  std::array<std::array<char, impl::buffer_bytes>, 2> buffers{};
};

fault_proxy::fault_proxy(boost::asio::io_context& context_in, const std::string& target_ip,
                         std::uint16_t target_port)
    : context{context_in},
      target{impl::asio::ip::make_address_v4(target_ip), target_port},
      listener{context_in} {
  const impl::tcp::endpoint any{impl::asio::ip::address_v4::loopback(), 0};
  // A listener keeps its port after `link_state::refused` only if it was bound to that port explicitly. The
  // first socket holds the port until then.
  impl::tcp::acceptor chosen{context_in, any.protocol()};
  chosen.set_option(impl::tcp::acceptor::reuse_address{true});
  chosen.bind(any);
  this->listener.open(any.protocol());
  this->listener.set_option(impl::tcp::acceptor::reuse_address{true});
  this->listener.bind(chosen.local_endpoint());
  this->listener.listen();
  this->accept();
}

void fault_proxy::set_state(link_state state_in) {
  const auto previous = this->state.exchange(state_in);
  if (refuses(previous) && !refuses(state_in)) {
    impl::asio::post(this->context, [this] { this->reopen(); });
  }
  if (refuses(state_in) && !refuses(previous)) {
    // Stops listening and keeps the port, which the kernel could give to somebody else.
    impl::asio::post(this->context, [this] { ::shutdown(this->listener.native_handle(), SHUT_RDWR); });
  }
  if (state_in == link_state::reset || state_in == link_state::refused) {
    impl::asio::post(this->context, [this] {
      for (const auto& connection : this->connections) {
        reset_connection(*connection);
      }
      this->connections.clear();
    });
  }
}

bool fault_proxy::refuses(link_state which) noexcept {
  return which == link_state::refused || which == link_state::half_open;
}

void fault_proxy::reopen() {
  this->listener.listen();
  this->accept();
}

void fault_proxy::reset_connection(proxied_connection& connection) {
  for (auto& peer_socket : connection.sockets) {
    impl::error_code ignored;  // The socket may be closed already.
    peer_socket.set_option(impl::tcp::socket::linger{true, 0}, ignored);
    peer_socket.close(ignored);
  }
}

void fault_proxy::accept() {
  this->listener.async_accept([this](const impl::error_code& error, impl::tcp::socket accepted) {
    if (error) {
      return;
    }
    auto connection = std::make_shared<proxied_connection>(this->context, std::move(accepted));
    if (this->state == link_state::reset) {
      reset_connection(*connection);
    } else {
      this->connections.insert(connection);
      connection->sockets[1].async_connect(this->target,
                                           [this, connection](const impl::error_code& connect_error) {
                                             if (connect_error) {
                                               reset_connection(*connection);
                                               this->connections.erase(connection);
                                               return;
                                             }
                                             this->read_next(connection, false);
                                             this->read_next(connection, true);
                                           });
    }
    this->accept();
  });
}

void fault_proxy::read_next(const std::shared_ptr<proxied_connection>& connection, bool from_target) {
  auto& source = connection->sockets.at(from_target ? 1 : 0);
  source.async_read_some(
      impl::asio::buffer(connection->buffers.at(from_target ? 1 : 0)),
      [this, connection, from_target](const impl::error_code& error, std::size_t byte_count) {
        this->forward(connection, from_target, error ? 0 : byte_count, false);
      });
}

void fault_proxy::forward(const std::shared_ptr<proxied_connection>& connection, bool from_target,
                          std::size_t byte_count, bool is_delayed) {
  const auto current_state = this->state.load();
  const bool is_stalled =
      current_state == link_state::stalled || (current_state == link_state::stalled_responses && from_target);
  if (is_stalled || (current_state == link_state::slow && !is_delayed)) {
    auto& timer = connection->timers.at(from_target ? 1 : 0);
    timer.expires_after(is_stalled ? impl::stall_poll_interval : impl::slow_delay);
    timer.async_wait(
        [this, connection, from_target, byte_count, is_stalled](const impl::error_code& timer_error) {
          if (!timer_error) {
            this->forward(connection, from_target, byte_count, !is_stalled);
          }
        });
    return;
  }
  auto& destination = connection->sockets.at(from_target ? 0 : 1);
  if (byte_count == 0) {
    impl::error_code ignored;  // The socket may be closed already.
    destination.shutdown(impl::tcp::socket::shutdown_send, ignored);
    if (from_target) {
      this->connections.erase(connection);
    }
    return;
  }
  impl::asio::async_write(
      destination, impl::asio::buffer(connection->buffers.at(from_target ? 1 : 0), byte_count),
      [this, connection, from_target](const impl::error_code& error, std::size_t /*bytes*/) {
        if (error) {
          reset_connection(*connection);
          this->connections.erase(connection);
          return;
        }
        this->read_next(connection, from_target);
      });
}

}  // namespace zinnia::standins
