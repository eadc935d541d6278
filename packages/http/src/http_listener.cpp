// The accept loop and the sweep over open connections.
#include "zinnia/http/http_listener.hpp"

#include <algorithm>
#include <chrono>
#include <vector>

namespace zinnia {
namespace impl {
namespace {

/// Connections that may wait to be accepted; Linux's usual upper limit is higher.
constexpr int accept_queue = 1024;
/// How often time limits are looked at; callers' limits are seconds.
constexpr std::chrono::milliseconds sweep_period{250};
/// Pause after a failed accept, which mostly means that descriptors ran out.
constexpr std::chrono::milliseconds accept_retry{20};

}  // namespace
}  // namespace impl

http_listener::http_listener(boost::asio::io_context& context_in, const clock_source& clock_in,
                             std::size_t most_connections, request_handler on_request_in)
    : context{context_in},
      clock{clock_in},
      connection_limit{most_connections},
      on_request{std::move(on_request_in)},
      acceptor{context_in},
      sweep_timer{context_in},
      accept_pause{context_in} {}

result<std::uint16_t> http_listener::listen(const boost::asio::ip::tcp::endpoint& address) {
  boost::system::error_code problem;
  const auto failed = [&](const char* step) {
    return error{reason::bad_request, std::string{"cannot "} + step + ": " + problem.message(),
                 address.address().to_string() + ':' + std::to_string(address.port())};
  };
  if (this->acceptor.open(address.protocol(), problem)) {
    return failed("open a socket");
  }
  this->acceptor.set_option(boost::asio::socket_base::reuse_address{true}, problem);
  if (this->acceptor.bind(address, problem)) {
    return failed("bind");
  }
  if (this->acceptor.listen(impl::accept_queue, problem)) {
    return failed("listen");
  }
  this->accept_next();
  this->sweep();
  return this->acceptor.local_endpoint().port();
}

void http_listener::accept_next() {
  this->acceptor.async_accept(
      [this](const boost::system::error_code& problem, boost::asio::ip::tcp::socket accepted) {
        if (problem == boost::asio::error::operation_aborted || !this->acceptor.is_open()) {
          return;
        }
        if (problem) {
          this->accept_pause.expires_after(impl::accept_retry);
          this->accept_pause.async_wait([this](const boost::system::error_code& stopped) {
            if (!stopped) {
              this->accept_next();
            }
          });
          return;
        }
        if (this->connections.size() < this->connection_limit) {
          auto connection = std::make_shared<caller_connection>(std::move(accepted), this->limits,
                                                                this->clock, this->on_request);
          if (this->draining) {
            connection->drain();
          }
          this->connections.insert(connection);
          connection->start();
        }
        this->accept_next();
      });
}

void http_listener::sweep() {
  std::vector<std::shared_ptr<caller_connection>> all{this->connections.begin(), this->connections.end()};
  for (const auto& connection : all) {
    connection->enforce_timeouts();
    if (connection->is_closed()) {
      this->connections.erase(connection);
    }
  }
  this->sweep_timer.expires_after(impl::sweep_period);
  this->sweep_timer.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped) {
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
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  const std::vector<std::shared_ptr<caller_connection>> all{this->connections.begin(),
                                                            this->connections.end()};
  for (const auto& connection : all) {
    connection->stop_reading();
  }
}

bool http_listener::has_requests_in_flight() const {
  return std::any_of(this->connections.begin(), this->connections.end(), [](const auto& connection) {
    return !connection->is_closed() && !connection->is_idle();
  });
}

}  // namespace zinnia
