// Which connections go when there are too many, and requests for which there is no memory.
#include <boost/asio/post.hpp>

#include "caller_connection_fixture.hpp"
#include "zinnia/http/connection_quota.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;

namespace {

const std::string whole_request = "GET /a HTTP/1.1\r\n\r\n";

class connection_limit : public caller_connection_test {
 protected:
  /// Listens with room for two connections, and memory for a few requests.
  void listen_with_limits(exchange_handler handler, std::size_t memory_bytes = 10 << 20) {
    this->memory.emplace(memory_bytes, this->clock);
    this->on_request = std::move(handler);
    this->listener.emplace(this->context, this->clock, 100,
                           [this](const auto& exchange) { this->on_request(exchange); });
    this->listener->set_resources({&*this->memory, 65'535});
    this->listener->set_connection_quota(this->quota, 0);
    this->port = *this->listener->listen({boost::asio::ip::address_v4::loopback(), 0});
    this->thread = std::thread{[this] { this->context.run(); }};
  }
  [[nodiscard]] std::uint64_t evicted() {
    return this->run_on_loop([this] { return this->listener->evicted_connections(); });
  }

  std::optional<memory_budget> memory;
  connection_quota quota{2};
};

TEST_F(connection_limit, an_idle_connection_goes_for_a_new_one) {
  this->listen_with_limits(respond_with_path());
  raw_tcp_client first{this->port};
  raw_tcp_client second{this->port};
  for (auto* const client : {&first, &second}) {
    client->send(whole_request);
    EXPECT_NE(client->read_until("/a").find("200"), std::string::npos);
  }
  raw_tcp_client third{this->port};
  third.send(whole_request);
  EXPECT_NE(third.read_until("/a").find("200"), std::string::npos);
  EXPECT_EQ(this->evicted(), 1U);
  constexpr int long_enough_ms = 1000;
  static_cast<void>(first.read_some(long_enough_ms));
  static_cast<void>(second.read_some(long_enough_ms));
  EXPECT_NE(first.is_closed(), second.is_closed());
}

TEST_F(connection_limit, requests_in_service_are_kept) {
  std::vector<std::shared_ptr<caller_exchange>> served;
  this->listen_with_limits([&served](const auto& exchange) { served.push_back(exchange); });
  raw_tcp_client first{this->port};
  raw_tcp_client second{this->port};
  first.send(whole_request);
  second.send(whole_request);
  while (this->run_on_loop([&served] { return served.size(); }) < 2) {
  }
  raw_tcp_client third{this->port};
  third.send(whole_request);
  EXPECT_EQ(third.read_all(), "");
  EXPECT_TRUE(third.is_closed());
  this->run_on_loop([&served] {
    for (const auto& exchange : served) {
      exchange->respond(200, {}, "done");
    }
    return 0;
  });
  EXPECT_NE(first.read_until("done").find("done"), std::string::npos);
  EXPECT_NE(second.read_until("done").find("done"), std::string::npos);
}

TEST_F(connection_limit, a_request_without_memory_gets_503_and_does_not_reach_the_handler) {
  int handled = 0;
  this->listen_with_limits(
      [&handled](const auto& exchange) {
        ++handled;
        exchange->respond(200, {}, exchange->body().str());
      },
      300 << 10);
  struct row {
    const char* name;
    std::string framing;
    std::string body;
  };
  const std::string bytes(400 << 10, 'b');
  for (const auto& row :
       {row{"length", "Content-Length: 409600", bytes},
        row{"chunked", "Transfer-Encoding: chunked", "64000\r\n" + bytes + "\r\n0\r\n\r\n"}}) {
    raw_tcp_client client{this->port};
    client.send("POST / HTTP/1.1\r\n" + row.framing + "\r\n\r\n" + row.body);
    EXPECT_TRUE(client.read_all().starts_with("HTTP/1.1 503")) << row.name;
    EXPECT_EQ(this->run_on_loop([&handled] { return handled; }), 0) << row.name;
  }
  raw_tcp_client small{this->port};
  small.send("POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_NE(small.read_until("abc").find("HTTP/1.1 200"), std::string::npos);
}

TEST_F(connection_limit, a_request_that_has_arrived_slowly_is_refused_whole) {
  constexpr std::size_t memory_bytes = 1 << 20;
  int handled = 0;
  this->listen_with_limits([&handled](const auto& /*exchange*/) { ++handled; }, memory_bytes);
  raw_tcp_client client{this->port};
  client.send("POST / HTTP/1.1\r\nContent-Length: 100001\r\n\r\n" + std::string(100'000, 'b'));
  while (this->run_on_loop([this] { return this->memory->used(); }) < 100'000) {
  }
  constexpr std::chrono::milliseconds longer_than_a_stall{300};
  std::this_thread::sleep_for(longer_than_a_stall);
  this->run_on_loop([this] {
    this->memory->take(this->memory->max_request() - this->memory->used(), nullptr);
    return 0;
  });
  client.send("b");
  EXPECT_TRUE(client.read_until("\r\n\r\n").starts_with("HTTP/1.1 503"));
  EXPECT_EQ(this->run_on_loop([&handled] { return handled; }), 0);
}

TEST_F(connection_limit, all_memory_is_given_back) {
  this->listen_with_limits([](const auto& exchange) { exchange->respond(200, {}, exchange->body().str()); });
  for (int i = 0; i < 3; ++i) {
    raw_tcp_client client{this->port};
    client.send("POST / HTTP/1.1\r\nContent-Length: 100000\r\nConnection: close\r\n\r\n" +
                std::string(100'000, 'b'));
    EXPECT_NE(client.read_all().find("200"), std::string::npos);
  }
  raw_tcp_client last{this->port};
  last.send(whole_request);
  static_cast<void>(last.read_until("\r\n\r\n"));
  constexpr std::size_t few_connections = 64 << 10;
  EXPECT_LE(this->run_on_loop([this] { return this->memory->used(); }), few_connections);
}

TEST_F(connection_limit, bodies_that_the_handler_does_not_use_take_no_memory) {
  this->listen_with_limits(
      [](const auto& exchange) { exchange->respond(200, {}, exchange->body().empty() ? "none" : "some"); },
      100 << 10);
  caller_limits limits;
  limits.keeps_bodies = false;
  limits.max_body_bytes = 1 << 20;
  this->run_on_loop([&] {
    this->listener->set_limits(limits);
    return 0;
  });
  raw_tcp_client client{this->port};
  client.send("POST / HTTP/1.1\r\nContent-Length: 400000\r\n\r\n" + std::string(400'000, 'b'));
  EXPECT_NE(client.read_until("none").find("none"), std::string::npos);
  client.send("POST / HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n");
  EXPECT_NE(client.read_until("413").find("413"), std::string::npos);
}

TEST(connection_quota, keeps_what_is_reserved_for_others) {
  connection_quota shared{10};
  const auto callers = shared.add_listener(4);
  const auto others = shared.add_listener(3);
  shared.set_open(callers, 6);
  EXPECT_TRUE(shared.has_room(callers));
  shared.set_open(callers, 7);
  EXPECT_FALSE(shared.has_room(callers));
  EXPECT_TRUE(shared.has_room(others));
  shared.set_open(others, 3);
  EXPECT_FALSE(shared.has_room(others));
  shared.set_open(callers, 5);
  EXPECT_TRUE(shared.has_room(others));
}

}  // namespace
