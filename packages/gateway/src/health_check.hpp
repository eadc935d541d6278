// A request to the health path of a backend server that is suspended or may have crashed. A suspended server
// gets no other requests until a check succeeds.
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

  /// \brief True if a process listens at the server's address.
  [[nodiscard]] bool is_connected() const noexcept { return this->connection->is_established(); }
  void on_head(const response_head& head) override;
  void on_body(std::string_view /*piece*/) override {}
  void on_end(const backend_call_result& end) override;

 private:
  void finish(bool is_healthy);
  /// Tells the gateway if the server has crashed, or has the check repeated if that is not known.
  void report_crash_state(const backend_call_result& end);

  gateway& owner;
  std::shared_ptr<backend_state> backend;
  std::shared_ptr<backend_connection> connection;
  boost::asio::steady_timer timeout_timer;
  time_point started_at;
  bool answered{false};
  bool healthy{false};
  // The id in the response; empty without one.
  std::string responding_instance;
  // The result is reported once, by the timeout or by the end of the call, whichever comes first.
  bool finished{false};
  // Time for which the server says that it is still cold.
  duration cold_left{0};
};

}  // namespace zinnia
