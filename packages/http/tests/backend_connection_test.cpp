// Tests backend_connection and backend_pool with a raw TCP server: for each kind of response or failure, the
// verdict on the request, the data delivered and the reuse of the connection.
#include <gtest/gtest.h>

#include "backend_connection_fixture.hpp"
#include "standins/scripted_tcp_server.hpp"
#include "zinnia/http/backend_pool.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;
using standins::scripted_response;
using standins::scripted_tcp_server;

namespace {

struct response_case {
  const char* name;
  scripted_response script;
  bool complete;
  verdict outcome;
  int status;
  std::string body;
  bool reusable;
};

TEST_F(backend_connection_test, responses_and_failures_give_the_expected_verdict) {
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
  const std::vector<response_case> table{
      {"whole", {head + "Content-Length: 5\r\n\r\nhello", true}, true, verdict::ran, 200, "hello", true},
      {"chunks",
       {head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
       true,
       verdict::ran,
       200,
       "hello",
       true},
      {"response with Connection: close",
       {head + "Connection: close\r\nContent-Length: 5\r\n\r\nhello", true},
       true,
       verdict::ran,
       200,
       "hello",
       false},
      {"short keep-alive",
       {head + "Keep-Alive: timeout=1\r\nContent-Length: 5\r\n\r\nhello", true},
       true,
       verdict::ran,
       200,
       "hello",
       false},
      {"interim response first",
       {"HTTP/1.1 103 Early\r\n\r\n" + head + "Content-Length: 2\r\n\r\nok", true},
       true,
       verdict::ran,
       200,
       "ok",
       true},
      {"no length, orderly close", {head + "\r\nhello"}, true, verdict::ran, 200, "hello", false},
      {"no length, reset",
       {head + "\r\nhello", false, 0, true},
       false,
       verdict::may_have_run,
       200,
       "hello",
       false},
      {"cut in the body",
       {head + "Content-Length: 9\r\n\r\nhello"},
       false,
       verdict::may_have_run,
       200,
       "hello",
       false},
      {"cut in a chunk",
       {head + "Transfer-Encoding: chunked\r\n\r\n9\r\nhello"},
       false,
       verdict::may_have_run,
       200,
       "hello",
       false},
      {"cut in the head", {"HTTP/1.1 200 OK\r\nConte"}, false, verdict::may_have_run, 0, "", false},
      {"closed without response", {""}, false, verdict::may_have_run, 0, "", false},
      {"reset without response", {"", false, 0, true}, false, verdict::may_have_run, 0, "", false},
      {"not HTTP", {"what is this?\r\n\r\n", true}, false, verdict::may_have_run, 0, "", false},
      {"bytes after the response",
       {head + "Content-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n", true},
       true,
       verdict::ran,
       200,
       "hello",
       false},
      {"another request's response first",
       {"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold" + head +
            "Content-Length: 3\r\n\r\nnew",
        true},
       true,
       verdict::ran,
       200,
       "new",
       false},
      {"only another request's response",
       {"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold"},
       false,
       verdict::may_have_run,
       0,
       "",
       false},
  };
  for (const auto& row : table) {
    const scripted_tcp_server server{[&row](int) { return row.script; }};
    const auto connection = this->connect(server.port());
    const auto handler = this->run_call(*connection);
    ASSERT_TRUE(handler->end) << row.name;
    EXPECT_EQ(handler->end->complete, row.complete) << row.name;
    EXPECT_EQ(handler->end->outcome, row.outcome) << row.name;
    EXPECT_EQ(handler->status, row.status) << row.name;
    EXPECT_EQ(handler->body, row.body) << row.name;
    EXPECT_EQ(connection->is_reusable(this->clock.now()), row.reusable) << row.name;
    connection->cancel();
  }
}

TEST_F(backend_connection_test, head_that_breaks_off_at_any_byte_is_no_response) {
  const std::string first = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\none";
  const std::string start = "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nServer-Stamp: s\r\n";
  for (const auto& head :
       {start + "Content-Length: 0\r\n\r\n", start + "Transfer-Encoding: chunked\r\n\r\n",
        start + "Connection: close\r\n\r\n", "HTTP/1.1 103 Early\r\n\r\n" + start + "\r\n"}) {
    for (std::size_t length = 0; length < head.size(); ++length) {
      const bool resets = length % 2 == 1;
      const scripted_tcp_server server{[&](int number) {
        return number == 0 ? scripted_response{first, true}
                           : scripted_response{head.substr(0, length), false, 0, resets};
      }};
      const auto connection = this->connect(server.port());
      ASSERT_EQ(this->run_call(*connection, "r1")->body, "one");
      const auto handler = this->run_call(*connection, "r2");
      ASSERT_TRUE(handler->end) << head.substr(0, length);
      EXPECT_FALSE(handler->end->complete) << head.substr(0, length);
      EXPECT_EQ(handler->end->outcome, verdict::may_have_run) << head.substr(0, length);
      EXPECT_EQ(handler->status, 0) << head.substr(0, length);
    }
  }
}

TEST_F(backend_connection_test, refused_connection_did_not_run_the_request) {
  std::uint16_t port = 0;
  {
    const scripted_tcp_server gone{[](int) { return scripted_response{}; }};
    port = gone.port();
  }
  const auto connection = this->connect(port);
  const auto handler = this->run_call(*connection);
  ASSERT_TRUE(handler->end);
  EXPECT_EQ(handler->end->outcome, verdict::did_not_run);
  EXPECT_EQ(handler->end->failure_reason, reason::connect_failed);
}

TEST_F(backend_connection_test, late_extra_response_is_discarded) {
  const std::string response = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\none";
  const std::string second_response = "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 3\r\n\r\ntwo";
  const scripted_tcp_server server{[&](int number) {
    return scripted_response{number == 0 ? response : response + second_response, true};
  }};
  const auto connection = this->connect(server.port());
  EXPECT_EQ(this->run_call(*connection, "r1")->body, "one");
  ASSERT_TRUE(connection->is_reusable(this->clock.now()));
  const auto second = this->run_call(*connection, "r2");
  EXPECT_EQ(second->body, "two");
  EXPECT_FALSE(connection->is_reusable(this->clock.now()));
  connection->cancel();
}

TEST_F(backend_connection_test, response_without_an_id_is_believed_where_several_servers_share_a_connection) {
  const std::string named = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\none";
  const std::string unnamed = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo";
  for (const bool is_relayed : {true, false}) {
    const scripted_tcp_server server{[&](int number) {
      return scripted_response{number == 0 ? named : unnamed, true};
    }};
    const auto connection = this->connect(server.port());
    EXPECT_EQ(this->run_call(*connection, "r1", is_relayed)->body, "one");
    const auto second = this->run_call(*connection, "r2", is_relayed);
    ASSERT_TRUE(second->end);
    EXPECT_EQ(second->end->complete, is_relayed);
    EXPECT_EQ(second->end->outcome, is_relayed ? verdict::ran : verdict::may_have_run);
  }
}

TEST_F(backend_connection_test, bytes_on_an_idle_connection_close_it) {
  const std::string response = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\none";
  const scripted_tcp_server server{[&](int) { return scripted_response{response}; }};
  const auto connection = this->connect(server.port());
  EXPECT_EQ(this->run_call(*connection)->body, "one");
  this->run();
  EXPECT_FALSE(connection->is_open());
}

TEST_F(backend_connection_test, pool_enforces_its_limit_and_reuses_connections) {
  const std::string response = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 3\r\n\r\none";
  const scripted_tcp_server server{[&](int) { return scripted_response{response, true}; }};
  backend_pool pool{this->context, {boost::asio::ip::address_v4::loopback(), server.port()}, this->clock};
  auto first = pool.acquire(2);
  const auto second = pool.acquire(2);
  EXPECT_EQ(pool.acquire(2), nullptr);
  EXPECT_EQ(this->run_call(*first)->body, "one");
  auto* const released = first.get();
  pool.release(std::move(first));
  EXPECT_EQ(pool.acquire(2).get(), released);
  pool.release(second);
}

TEST_F(backend_connection_test, a_call_that_is_given_up_leaves_no_bytes_that_arrive_later) {
  boost::asio::io_context server_context;
  boost::asio::ip::tcp::acceptor acceptor{server_context, {boost::asio::ip::address_v4::loopback(), 0}};
  // More than the buffers of both sockets take, so that a part waits at the sender.
  constexpr std::size_t request_bytes = 64 << 20;
  for (const bool is_whole_request : {true, false}) {
    const auto connection = this->connect(acceptor.local_endpoint().port());
    recording_handler handler{this->context};
    backend_call request;
    request.bytes.assign(is_whole_request ? 100 : request_bytes, 'x');
    connection->start(std::move(request), handler);
    this->context.restart();
    this->context.run_for(std::chrono::milliseconds{200});
    connection->cancel();
    auto server_side = acceptor.accept();
    std::string received(1 << 20, '\0');
    std::size_t total = 0;
    boost::system::error_code problem;
    while (!problem) {
      total += server_side.read_some(boost::asio::buffer(received), problem);
    }
    EXPECT_EQ(problem, boost::asio::error::connection_reset) << problem.message();
    EXPECT_LT(total, request_bytes);
  }
}

}  // namespace
