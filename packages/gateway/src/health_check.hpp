// A request to the health path of a suspended backend server. The server gets no other requests until a check
// succeeds.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/backend_connection.hpp"

namespace zinnia {

/// \brief   Runs one health check and reports the result to the backend server's state.
/// \details Removes itself from the gateway's health checks when it has finished.
class health_check final : public backend_call_handler {
 public:
  health_check(gateway& owner_in, std::shared_ptr<backend_state> backend_in,
               const boost::asio::ip::tcp::endpoint& address, const std::string& path);
  ~health_check() override;
  health_check(const health_check&) = delete;
  health_check& operator=(const health_check&) = delete;
  health_check(health_check&&) = delete;
  health_check& operator=(health_check&&) = delete;

  void on_head(const response_head& head) override;
  void on_body(std::string_view /*piece*/) override {}
  void on_end(const backend_call_result& end) override;

 private:
  void finish(bool is_healthy);

  gateway& owner;
  std::shared_ptr<backend_state> backend;
  std::shared_ptr<backend_connection> connection;
  boost::asio::steady_timer timeout_timer;
  bool healthy{false};
  // The result is reported once, by the timeout or by the end of the call, whichever comes first.
  bool finished{false};
  // Time for which the server says that it is still cold.
  duration cold_left{0};
};

}  // namespace zinnia
