// Tests caller_connection and http_listener with a raw TCP client: response order, limits, timeouts and
// closing.
#include <gtest/gtest.h>

#include <boost/asio/steady_timer.hpp>
#include <future>
#include <thread>

#include "caller_connection_fixture.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;

namespace {

TEST_F(caller_connection_test, responds_to_pipelined_requests_in_order) {
  std::vector<std::shared_ptr<caller_exchange>> held;
  this->listen([&](const std::shared_ptr<caller_exchange>& exchange) {
    held.push_back(exchange);
    if (held.size() == 3) {
      for (auto at = held.rbegin(); at != held.rend(); ++at) {
        (*at)->respond(200, {}, (*at)->head().target);
      }
    }
  });
  raw_tcp_client client{this->port};
  client.send("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nGET /3 HTTP/1.1\r\n\r\n");
  const auto received = client.read_until("/3");
  EXPECT_LT(received.find("/1"), received.find("/2"));
  EXPECT_LT(received.find("/2"), received.find("/3"));
}

TEST_F(caller_connection_test, runs_callback_when_a_request_becomes_first_in_pipeline) {
  std::vector<std::shared_ptr<caller_exchange>> held;
  std::atomic<bool> first{false};
  this->listen([&](const std::shared_ptr<caller_exchange>& exchange) {
    held.push_back(exchange);
    if (held.size() == 2) {
      exchange->when_first_in_pipeline([&first] { first = true; });
    }
  });
  raw_tcp_client client{this->port};
  client.send("GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  while (this->run_on_loop([&] { return held.size(); }) < 2) {
  }
  EXPECT_FALSE(first);
  this->run_on_loop([&] {
    held[0]->respond(200, {}, "");
    return 0;
  });
  // Set once the first response is written. A failing test hangs here until the test runner's timeout.
  while (!first) {
    std::this_thread::yield();
  }
  // A request without a response would keep its connection alive after the end of the test.
  this->run_on_loop([&] {
    held[1]->respond(200, {}, "second");
    return 0;
  });
  EXPECT_NE(client.read_until("second").find("second"), std::string::npos);
}

struct rejection_case {
  const char* name;
  std::string bytes;
  std::string expected;
};

TEST_F(caller_connection_test, rejects_invalid_input_and_closes) {
  caller_limits limits;
  limits.max_header_bytes = 1024;
  limits.max_body_bytes = 100;
  limits.header_timeout = duration{200};
  this->listen(respond_with_path(), limits);
  const std::vector<rejection_case> table{
      {"not HTTP", "hello\r\n\r\n", "HTTP/1.1 400"},
      {"length and chunked encoding (request smuggling)",
       "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"},
      {"long head", "GET / HTTP/1.1\r\nX: " + std::string(2000, 'a') + "\r\n\r\n", "HTTP/1.1 431"},
      {"long body", "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "HTTP/1.1 413"},
      {"long chunked body",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + std::string(101, 'a') + "\r\n",
       "HTTP/1.1 413"},
      {"slow head", "GET / HTT", "HTTP/1.1 408"},
      {"slow body", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", "HTTP/1.1 408"},
  };
  for (const auto& row : table) {
    raw_tcp_client client{this->port};
    client.send(row.bytes);
    const auto received = client.read_all();
    EXPECT_TRUE(received.starts_with(row.expected)) << row.name << ": " << received;
    EXPECT_NE(received.find("Connection: close"), std::string::npos) << row.name;
    EXPECT_TRUE(client.is_closed()) << row.name;
  }
}

TEST_F(caller_connection_test, closes_idle_connections_after_the_timeout) {
  caller_limits limits;
  limits.idle_timeout = duration{300};
  this->listen(respond_with_path(), limits);
  raw_tcp_client client{this->port};
  client.send("GET /1 HTTP/1.1\r\n\r\n");
  static_cast<void>(client.read_until("/1"));
  static_cast<void>(client.read_all());
  EXPECT_TRUE(client.is_closed());
}

TEST_F(caller_connection_test, reports_a_disconnect) {
  std::promise<void> gone;
  this->listen([&](const std::shared_ptr<caller_exchange>& exchange) {
    exchange->on_disconnect = [&gone] { gone.set_value(); };
  });
  raw_tcp_client client{this->port};
  client.send("GET /1 HTTP/1.1\r\n\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds{50});
  client.close();
  gone.get_future().get();
}

TEST_F(caller_connection_test, aborted_response_does_not_look_complete) {
  this->listen([](const std::shared_ptr<caller_exchange>& exchange) {
    response_head head;
    head.status = 200;
    if (exchange->head().target == "/length") {
      head.content_length = 100;
    }
    exchange->begin(head);
    exchange->write("part");
    exchange->abort();
  });
  for (const auto* const path : {"/length", "/chunks"}) {
    raw_tcp_client client{this->port};
    client.send(std::string{"GET "} + path + " HTTP/1.1\r\n\r\n");
    const auto received = client.read_all();
    EXPECT_TRUE(client.is_closed()) << path;
    EXPECT_EQ(received.find("\r\n0\r\n"), std::string::npos) << path;
  }
}

TEST_F(caller_connection_test, sends_100_continue_before_the_body) {
  this->listen([](const std::shared_ptr<caller_exchange>& exchange) {
    exchange->respond(200, {}, exchange->body().str());
  });
  raw_tcp_client client{this->port};
  client.send("POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  EXPECT_TRUE(client.read_until("100 Continue").starts_with("HTTP/1.1 100"));
  client.send("data");
  EXPECT_NE(client.read_until("data").find("HTTP/1.1 200"), std::string::npos);
}

TEST_F(caller_connection_test, drained_connection_closes_after_its_next_response) {
  this->listen(respond_with_path());
  raw_tcp_client client{this->port};
  client.send("GET /1 HTTP/1.1\r\n\r\n");
  EXPECT_EQ(client.read_until("/1").find("Connection: close"), std::string::npos);
  this->run_on_loop([this] {
    this->listener->drain();
    return 0;
  });
  client.send("GET /2 HTTP/1.1\r\n\r\n");
  EXPECT_NE(client.read_all().find("Connection: close"), std::string::npos);
  EXPECT_TRUE(client.is_closed());
}

TEST_F(caller_connection_test, responds_to_requests_read_before_a_stop) {
  std::shared_ptr<caller_exchange> held;
  this->listen([&](const std::shared_ptr<caller_exchange>& exchange) { held = exchange; });
  raw_tcp_client client{this->port};
  client.send("GET /1 HTTP/1.1\r\n\r\n");
  while (this->run_on_loop([&] { return held == nullptr; })) {
  }
  this->run_on_loop([this] {
    this->listener->stop_reading();
    return 0;
  });
  client.send("GET /2 HTTP/1.1\r\n\r\n");
  this->run_on_loop([&] {
    held->respond(200, {}, "late answer");
    return 0;
  });
  const auto received = client.read_all();
  EXPECT_NE(received.find("late answer"), std::string::npos);
  EXPECT_NE(received.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(client.is_closed());
}

TEST_F(caller_connection_test, slow_reader_congests_a_large_response) {
  constexpr std::size_t size = 8 << 20;
  std::atomic<bool> congested{false};
  this->listen([&](const std::shared_ptr<caller_exchange>& exchange) {
    response_head head;
    head.status = 200;
    head.content_length = size;
    exchange->begin(head);
    for (std::size_t sent = 0; sent < size; sent += 1 << 16) {
      exchange->write(std::string(1 << 16, 'x'));
      congested = congested || exchange->is_congested();
    }
    exchange->finish();
  });
  raw_tcp_client client{this->port};
  client.send("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  const auto received = client.read_all(10'000);
  EXPECT_EQ(received.size() - received.find("\r\n\r\n") - 4, size);
  EXPECT_TRUE(congested);
}

}  // namespace
