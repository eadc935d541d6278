// Calls over one connection to a backend server, on the test's own thread.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "zinnia/http/backend_connection.hpp"

namespace zinnia::testing_support {

/// Records the response and the result of one call, and stops the event loop at its end.
class recording_handler final : public backend_call_handler {
 public:
  explicit recording_handler(boost::asio::io_context& context_in) : context{context_in} {}
  void on_head(const response_head& head) override { this->status = head.status; }
  void on_body(std::string_view piece) override { this->body += piece; }
  void on_end(const backend_call_result& end_in) override {
    this->end = end_in;
    this->context.stop();
  }

  boost::asio::io_context& context;
  int status{0};
  std::string body;
  std::optional<backend_call_result> end;
};

class backend_connection_test : public testing::Test {
 protected:
  [[nodiscard]] static backend_call make_call(const std::string& id = "r1") {
    backend_call request;
    request.bytes = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
    request.id_field = "Request-Id";
    request.id = id;
    return request;
  }
  /// Runs one call to its end, for at most two seconds.
  std::unique_ptr<recording_handler> run_call(backend_connection& connection, const std::string& id = "r1",
                                              bool is_relayed = false) {
    auto request = make_call(id);
    request.is_relayed = is_relayed;
    return this->run_call(connection, std::move(request));
  }
  std::unique_ptr<recording_handler> run_call(backend_connection& connection, backend_call request) {
    auto handler = std::make_unique<recording_handler>(this->context);
    connection.start(std::move(request), *handler);
    this->run();
    if (!handler->end) {
      connection.cancel();
    }
    return handler;
  }
  void run() {
    this->context.restart();
    this->context.run_for(std::chrono::seconds{2});
  }
  [[nodiscard]] std::shared_ptr<backend_connection> connect(std::uint16_t port) {
    return std::make_shared<backend_connection>(
        this->context, boost::asio::ip::tcp::endpoint{boost::asio::ip::address_v4::loopback(), port},
        this->clock);
  }

  boost::asio::io_context context;
  boot_clock clock;
};

}  // namespace zinnia::testing_support
