// Reuse and expiry of idle connections.
#include "zinnia/http/backend_pool.hpp"

#include <algorithm>

namespace zinnia {

backend_pool::backend_pool(boost::asio::io_context& context_in, boost::asio::ip::tcp::endpoint address_in,
                           const clock_source& clock_in)
    : context{context_in}, address{std::move(address_in)}, clock{clock_in} {}

std::shared_ptr<backend_connection> backend_pool::acquire(std::size_t max_connections, std::string_view id) {
  const auto now = this->clock.now();
  while (!this->idle.empty()) {
    auto connection = std::move(this->idle.back());
    this->idle.pop_back();
    if (connection->is_reusable(now) && !connection->has_carried(id)) {
      this->lent.push_back(connection);
      return connection;
    }
    connection->cancel();
  }
  if (this->lent.size() >= max_connections) {
    return nullptr;
  }
  return this->lent.emplace_back(
      std::make_shared<backend_connection>(this->context, this->address, this->clock));
}

void backend_pool::release(std::shared_ptr<backend_connection> connection) {
  std::erase(this->lent, connection);
  if (connection->is_reusable(this->clock.now()) && connection->endpoint() == this->address) {
    this->idle.push_back(std::move(connection));
  } else {
    connection->cancel();
  }
}

bool backend_pool::has_reusable() const {
  const auto now = this->clock.now();
  return std::any_of(this->idle.begin(), this->idle.end(),
                     [now](const auto& connection) { return connection->is_reusable(now); });
}

bool backend_pool::has_established(duration max_silence) const {
  const auto now = this->clock.now();
  return this->has_reusable() ||
         std::any_of(this->lent.begin(), this->lent.end(), [&](const auto& connection) {
           return connection->is_established() && !connection->is_silent(max_silence, now);
         });
}

void backend_pool::set_endpoint(const boost::asio::ip::tcp::endpoint& address_in) {
  this->close_idle();
  this->address = address_in;
}

void backend_pool::close_expired() {
  const auto now = this->clock.now();
  const auto is_expired = [&](const std::shared_ptr<backend_connection>& connection) {
    if (connection->is_reusable(now)) {
      return false;
    }
    connection->cancel();
    return true;
  };
  this->idle.erase(std::remove_if(this->idle.begin(), this->idle.end(), is_expired), this->idle.end());
}

void backend_pool::close_idle() {
  for (const auto& connection : this->idle) {
    connection->cancel();
  }
  this->idle.clear();
}

}  // namespace zinnia
