// What becomes of requests that have begun to arrive when a listener stops reading.
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <deque>

#include "caller_connection_fixture.hpp"
#include "zinnia/http/socket_options.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;

namespace {

using caller_connection_stop = caller_connection_test;

struct half_sent_request {
  const char* name;
  std::string first;
  /// What the node sends once it has read `first`.
  std::string reply;
  std::string rest;
};

const std::string whole_request = "GET / HTTP/1.1\r\n\r\n";
const std::vector<half_sent_request> half_sent_requests{
    {"head", whole_request + "POST / HTTP/1.1\r\nContent-Le", "\r\n\r\n", "ngth: 4\r\n\r\ndata"},
    {"body", whole_request + "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nda", "\r\n\r\n", "ta"},
    {"chunk", whole_request + "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nda", "\r\n\r\n",
     "ta\r\n0\r\n\r\n"},
    {"body after 100", "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n", "100 Continue",
     "data"},
};

/// Sends the first part of each request and waits until the node has read it.
void send_first_parts(std::deque<raw_tcp_client>& clients, std::uint16_t port) {
  for (const auto& row : half_sent_requests) {
    auto& client = clients.emplace_back(port);
    client.send(row.first);
    EXPECT_NE(client.read_until(row.reply).find(row.reply), std::string::npos) << row.name;
  }
}

TEST_F(caller_connection_stop, a_stop_does_not_cut_off_half_sent_requests) {
  this->listen([](const std::shared_ptr<caller_exchange>& exchange) {
    exchange->respond(200, {}, exchange->body().str());
  });
  std::deque<raw_tcp_client> clients;
  send_first_parts(clients, this->port);
  this->stop_reading();
  for (std::size_t i = 0; i < half_sent_requests.size(); ++i) {
    EXPECT_TRUE(this->run_on_loop([this] { return this->listener->has_requests_in_flight(); }));
    clients[i].send(half_sent_requests[i].rest);
    const auto received = clients[i].read_all();
    EXPECT_NE(received.find("Connection: close"), std::string::npos) << half_sent_requests[i].name;
    EXPECT_TRUE(received.ends_with("data")) << half_sent_requests[i].name << received;
  }
}

TEST_F(caller_connection_stop, refuses_half_sent_requests_that_do_not_arrive_in_time) {
  this->listen(respond_with_path());
  this->set_partial_request_handler(nullptr);
  std::deque<raw_tcp_client> clients;
  send_first_parts(clients, this->port);
  this->stop_reading();
  this->run_on_loop([this] {
    this->listener->refuse_partial_requests(reason::node_stopping);
    return 0;
  });
  for (std::size_t i = 0; i < half_sent_requests.size(); ++i) {
    EXPECT_TRUE(this->run_on_loop([this] { return this->listener->has_requests_in_flight(); }));
    clients[i].send(half_sent_requests[i].rest);
    const auto received = clients[i].read_all();
    const auto refusal = received.find("HTTP/1.1 503");
    ASSERT_NE(refusal, std::string::npos) << half_sent_requests[i].name << received;
    EXPECT_NE(received.find("Connection: close", refusal), std::string::npos) << half_sent_requests[i].name;
    EXPECT_EQ(received.find("HTTP/1.1", refusal + 1), std::string::npos) << half_sent_requests[i].name;
  }
}

TEST_F(caller_connection_stop, a_stop_serves_what_was_sent_on_connections_in_the_backlog) {
  this->listen(respond_with_path());
  boost::asio::io_context client_context;
  boost::asio::ip::tcp::socket client{client_context};
  this->run_on_loop([&] {
    client.connect({boost::asio::ip::address_v4::loopback(), this->port});
    client.write_some(boost::asio::buffer(std::string{"GET /1 HTTP/1.1\r\n\r\n"}));
    while (unacknowledged_bytes(client.native_handle()) > 0) {
    }
    this->listener->stop_reading();
    return 0;
  });
  std::string received;
  boost::system::error_code ended;
  boost::asio::read(client, boost::asio::dynamic_buffer(received), ended);
  EXPECT_TRUE(received.ends_with("/1")) << received;
}

TEST_F(caller_connection_stop, a_stop_serves_the_first_request_of_a_new_connection) {
  this->listen(respond_with_path());
  raw_tcp_client client{this->port};
  while (this->run_on_loop([this] { return this->listener->open_connections() == 0; })) {
  }
  this->stop_reading();
  EXPECT_TRUE(this->run_on_loop([this] { return this->listener->has_requests_in_flight(); }));
  client.send("GET /1 HTTP/1.1\r\n\r\n");
  const auto received = client.read_all();
  EXPECT_NE(received.find("Connection: close"), std::string::npos) << received;
  EXPECT_TRUE(received.ends_with("/1")) << received;
}

TEST_F(caller_connection_stop, a_stop_closes_new_connections_that_send_nothing) {
  this->listen(respond_with_path());
  raw_tcp_client client{this->port};
  while (this->run_on_loop([this] { return this->listener->open_connections() == 0; })) {
  }
  this->stop_reading();
  EXPECT_EQ(client.read_all(10'000), "");
  EXPECT_TRUE(client.is_closed());
  client.close();
  while (this->run_on_loop([this] { return this->listener->has_requests_in_flight(); })) {
  }
}

TEST_F(caller_connection_stop, a_stop_serves_a_request_behind_a_response_that_has_begun) {
  std::vector<std::shared_ptr<caller_exchange>> held;
  this->listen([&](const std::shared_ptr<caller_exchange>& exchange) {
    held.push_back(exchange);
    response_head head;
    head.status = 200;
    head.content_length = 5;
    exchange->begin(head);
  });
  raw_tcp_client client{this->port};
  client.send("GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\nContent-Length: 4\r\n\r\nda");
  while (this->run_on_loop([&] { return held.empty(); })) {
  }
  this->stop_reading();
  client.send("ta");
  while (this->run_on_loop([&] { return held.size(); }) < 2) {
  }
  this->run_on_loop([&] {
    for (const auto& exchange : held) {
      exchange->write("reply");
      exchange->finish();
    }
    return 0;
  });
  const auto received = client.read_all();
  EXPECT_NE(received.find("Connection: close"), std::string::npos) << received;
  EXPECT_LT(received.find("reply"), received.rfind("reply")) << received;
}

TEST_F(caller_connection_stop, a_stop_answers_requests_that_were_read_and_not_parsed) {
  // More than a connection parses at a time.
  constexpr std::size_t sent = 20;
  std::vector<std::shared_ptr<caller_exchange>> held;
  response_head begun;
  begun.status = 200;
  begun.content_length = 5;
  this->listen([&](const std::shared_ptr<caller_exchange>& exchange) {
    held.push_back(exchange);
    exchange->begin(begun);
  });
  raw_tcp_client client{this->port};
  std::string requests;
  for (std::size_t i = 0; i < sent; ++i) {
    requests += "GET / HTTP/1.1\r\n\r\n";
  }
  client.send(requests);
  while (this->run_on_loop([&] { return held.empty(); })) {
  }
  const auto parsed = this->run_on_loop([&] { return held.size(); });
  EXPECT_LT(parsed, sent);
  this->stop_reading();
  while (!this->run_on_loop([&] {
    for (std::size_t at = 0; at < parsed; ++at) {
      held[at]->write("reply");
      held[at]->finish();
    }
    return held.size() > parsed;
  })) {
  }
  const auto received = this->run_on_loop([&] {
    held.back()->write("reply");
    held.back()->finish();
    return held.size();
  });
  const auto answers = client.read_all();
  std::size_t replies = 0;
  for (auto at = answers.find("reply"); at != std::string::npos; at = answers.find("reply", at + 1)) {
    ++replies;
  }
  EXPECT_EQ(replies, received);
  // What lies behind the response that closes the connection counts as unread.
  EXPECT_GT(answers.find("Connection: close"), answers.find("reply"));
  EXPECT_TRUE(answers.ends_with("reply")) << answers;
}

TEST_F(caller_connection_stop, refuses_a_request_by_its_head_before_it_asks_for_the_body) {
  this->listen(respond_with_path());
  this->set_partial_request_handler(
      [](const request_head& head, time_point /*started*/) { return head.target == "/refused"; });
  raw_tcp_client refused{this->port};
  refused.send("POST /refused HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  EXPECT_TRUE(refused.read_all().starts_with("HTTP/1.1 503"));
  raw_tcp_client served{this->port};
  served.send("POST /served HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
  EXPECT_TRUE(served.read_until("100 Continue").starts_with("HTTP/1.1 100"));
  served.close();
}

}  // namespace
