// A listener on a thread of its own, for tests with a raw TCP client.
#pragma once

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include "standins/raw_tcp_client.hpp"
#include "zinnia/http/http_listener.hpp"

namespace zinnia::testing_support {

using standins::raw_tcp_client;

/// Runs a listener on a separate thread. Tests supply the request handler.
class caller_connection_test : public testing::Test {
 protected:
  using exchange_handler = std::function<void(const std::shared_ptr<caller_exchange>&)>;

  void listen(exchange_handler on_request_in, const caller_limits& limits = {}) {
    this->on_request = std::move(on_request_in);
    this->listener.emplace(
        this->context, this->clock, 100,
        [this](const std::shared_ptr<caller_exchange>& exchange) { this->on_request(exchange); });
    this->listener->set_limits(limits);
    const auto started = this->listener->listen({boost::asio::ip::address_v4::loopback(), 0});
    ASSERT_TRUE(started);
    this->port = *started;
    this->thread = std::thread{[this] { this->context.run(); }};
  }
  void TearDown() override {
    this->context.stop();
    this->thread.join();
  }
  template <class Action>
  auto run_on_loop(Action action) {
    std::promise<decltype(action())> done;
    boost::asio::post(this->context, [&] { done.set_value(action()); });
    return done.get_future().get();
  }
  void stop_reading() {
    this->run_on_loop([this] {
      this->listener->drain();
      this->listener->stop_reading();
      return 0;
    });
  }
  void set_partial_request_handler(const std::function<bool(const request_head&, time_point)>& is_refused) {
    this->run_on_loop([&] {
      this->listener->set_partial_request_handler(
          {[is_refused](const request_head& head, time_point started) {
             return is_refused && is_refused(head, started) ? std::optional{reason::node_stopping}
                                                            : std::nullopt;
           },
           [](const std::shared_ptr<caller_exchange>& exchange, reason /*why*/) {
             exchange->respond(503, {}, "");
           }});
      return 0;
    });
  }
  static exchange_handler respond_with_path() {
    return [](const std::shared_ptr<caller_exchange>& exchange) {
      exchange->respond(200, {}, exchange->head().target);
    };
  }

  boost::asio::io_context context;
  boot_clock clock;
  exchange_handler on_request;
  std::optional<http_listener> listener;
  std::uint16_t port{0};
  std::thread thread;
};

}  // namespace zinnia::testing_support
