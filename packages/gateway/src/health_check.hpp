// One request to a backend server's health path, before the server is trusted again.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "zinnia/gateway/gateway.hpp"
#include "zinnia/http/backend_connection.hpp"

namespace zinnia {

/// \brief Runs once and tells the backend's state what it found.
class health_check final : public backend_call_handler {
 public:
  health_check(gateway& owner_in, std::shared_ptr<backend_state> backend_in, const std::string& path);
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
  boost::asio::steady_timer timer;
  bool healthy{false};
  duration cold_left{0};
};

}  // namespace zinnia
