// The accept loop and the periodic sweep that enforces time limits.
#include "zinnia/http/http_listener.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

#include "zinnia/http/socket_options.hpp"

namespace zinnia {
namespace impl {
namespace {

/// The backlog of connections not yet accepted. Linux's usual upper limit is higher.
constexpr int backlog_length = 1024;
/// The interval between checks of the time limits, which are in the range of seconds.
constexpr std::chrono::milliseconds sweep_period{250};
/// The delay after a failed accept. The usual cause is a lack of file descriptors.
constexpr std::chrono::milliseconds accept_retry_delay{20};

}  // namespace
}  // namespace impl

http_listener::http_listener(boost::asio::io_context& context_in, const clock_source& clock_in,
                             std::size_t max_connections_in, request_handler on_request_in)
    : context{context_in},
      clock{clock_in},
      max_connections{max_connections_in},
      on_request{std::move(on_request_in)},
      acceptor{context_in},
      sweep_timer{context_in},
      accept_retry_timer{context_in} {}

result<std::uint16_t> http_listener::listen(const boost::asio::ip::tcp::endpoint& address) {
  boost::system::error_code ec;
  const auto failed = [&](const char* step) {
    return error{reason::bad_request, std::string{"cannot "} + step + ": " + ec.message(),
                 address.address().to_string() + ':' + std::to_string(address.port())};
  };
  if (this->acceptor.open(address.protocol(), ec)) {
    return failed("open a socket");
  }
  this->acceptor.set_option(boost::asio::socket_base::reuse_address{true}, ec);
  if (this->resources.memory != nullptr) {
    set_receive_window(this->acceptor.native_handle(), this->resources.receive_window);
  }
  if (this->acceptor.bind(address, ec)) {
    return failed("bind");
  }
  if (this->acceptor.listen(impl::backlog_length, ec)) {
    return failed("listen");
  }
  this->accept_next();
  this->sweep();
  return this->acceptor.local_endpoint().port();
}

void http_listener::accept_next() {
  this->acceptor.async_accept(
      [this](const boost::system::error_code& ec, boost::asio::ip::tcp::socket accepted) {
        if (ec == boost::asio::error::operation_aborted || !this->acceptor.is_open()) {
          return;
        }
        if (ec) {
          this->accept_retry_timer.expires_after(impl::accept_retry_delay);
          this->accept_retry_timer.async_wait([this](const boost::system::error_code& wait_ec) {
            if (!wait_ec) {
              this->accept_next();
            }
          });
          return;
        }
        this->add_connection(std::move(accepted));
        this->accept_next();
      });
}

void http_listener::accept_backlog() {
  boost::system::error_code ec;
  this->acceptor.non_blocking(true, ec);
  while (!ec) {
    boost::asio::ip::tcp::socket accepted{this->context};
    this->acceptor.accept(accepted, ec);
    if (!ec) {
      this->add_connection(std::move(accepted));
    }
  }
}

void http_listener::add_connection(boost::asio::ip::tcp::socket accepted) {
  if (!this->has_room()) {
    ++this->evicted_count;
    if (!this->evict_one()) {
      return;
    }
  }
  auto connection =
      std::make_shared<caller_connection>(std::move(accepted), this->limits, this->clock, this->on_request,
                                          this->partial_requests, this->resources);
  if (this->draining) {
    connection->drain();
  }
  this->connections.insert(connection);
  this->report_open();
  connection->start();
}

std::vector<std::shared_ptr<caller_connection>> http_listener::current_connections() const {
  return {this->connections.begin(), this->connections.end()};
}

void http_listener::sweep() {
  for (const auto& connection : this->current_connections()) {
    connection->enforce_timeouts();
    if (connection->is_closed()) {
      this->remove(connection);
    }
  }
  this->sweep_timer.expires_after(impl::sweep_period);
  this->sweep_timer.async_wait([this](const boost::system::error_code& wait_ec) {
    if (!wait_ec) {
      this->sweep();
    }
  });
}

void http_listener::drain() {
  this->draining = true;
  for (const auto& connection : this->connections) {
    connection->drain();
  }
}

void http_listener::stop_reading() {
  this->accept_backlog();
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  for (const auto& connection : this->current_connections()) {
    connection->stop_reading();
  }
}

void http_listener::recheck_partial_requests() {
  for (const auto& connection : this->current_connections()) {
    connection->recheck_partial_request();
  }
}

void http_listener::refuse_partial_requests(reason why) {
  for (const auto& connection : this->current_connections()) {
    if (connection->has_partial_request()) {
      connection->refuse_partial_request(why);
    }
  }
}

std::size_t http_listener::arriving_requests() const {
  return static_cast<std::size_t>(
      std::count_if(this->connections.begin(), this->connections.end(), [](const auto& connection) {
        return !connection->is_closed() &&
               (connection->has_partial_request() || connection->awaits_first_request());
      }));
}

bool http_listener::has_requests_in_flight() const {
  return std::any_of(this->connections.begin(), this->connections.end(), [](const auto& connection) {
    return !connection->is_closed() &&
           (!connection->is_idle() || connection->has_undelivered_output() ||
            connection->awaits_rest_of_request() || connection->awaits_first_request());
  });
}

}  // namespace zinnia
