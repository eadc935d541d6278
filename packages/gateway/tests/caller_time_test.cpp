// Callers that send slowly or leave: the time that servers are told, and what the records say.
#include <boost/asio/ip/tcp.hpp>
#include <future>
#include <thread>

#include "gateway_fixture.hpp"

using namespace zinnia;
using namespace zinnia::testing_support;

namespace {

/// A server that reads one request. It answers, or waits until the connection ends.
class one_request_server {
 public:
  explicit one_request_server(bool answers) : thread{[this, answers] { this->serve(answers); }} {}
  ~one_request_server() { this->thread.join(); }
  one_request_server(const one_request_server&) = delete;
  one_request_server& operator=(const one_request_server&) = delete;
  one_request_server(one_request_server&&) = delete;
  one_request_server& operator=(one_request_server&&) = delete;

  [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }
  [[nodiscard]] std::string request() { return this->received.get_future().get(); }
  void wait_for_end() { this->ended.get_future().wait(); }

 private:
  void serve(bool answers) {
    auto socket = this->acceptor.accept();
    std::string bytes(4096, '\0');
    boost::system::error_code problem;
    bytes.resize(socket.read_some(boost::asio::buffer(bytes), problem));
    this->received.set_value(bytes);
    if (answers) {
      static_cast<void>(socket.write_some(boost::asio::buffer(good_response.reply), problem));
    }
    std::string more(4096, '\0');
    while (!answers && !problem) {
      socket.read_some(boost::asio::buffer(more), problem);
    }
    this->ended.set_value();
  }

  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor{this->context, {boost::asio::ip::address_v4::loopback(), 0}};
  std::promise<std::string> received;
  std::promise<void> ended;
  std::thread thread;
};

using caller_time = gateway_contract;

TEST_F(caller_time, a_slow_body_does_not_lengthen_the_time_that_servers_are_told) {
  one_request_server server{true};
  this->route_with(request_kind::unsafe, 20'000);
  this->add("a", server.port());
  this->start();
  raw_tcp_client client{this->port};
  client.send(
      "POST /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 5000\r\nExpect: 100-continue\r\n"
      "Content-Length: 4\r\n\r\n");
  // The node has read the first byte then.
  ASSERT_NE(client.read_until("100 Continue").find("100 Continue"), std::string::npos);
  std::this_thread::sleep_for(std::chrono::milliseconds{400});
  client.send("abcd");
  EXPECT_NE(client.read_until("data").find("200"), std::string::npos);
  const auto received = server.request();
  const auto at = received.find("Left: ");
  ASSERT_NE(at, std::string::npos) << received;
  // The clock counts whole milliseconds.
  EXPECT_LE(std::stoi(received.substr(at + 6)), 4601);
}

TEST_F(caller_time, the_record_says_may_have_run_if_the_caller_left_while_a_server_had_the_request) {
  one_request_server server{false};
  this->route_with(request_kind::unsafe, 20'000);
  this->add("a", server.port());
  this->start();
  raw_tcp_client client{this->port};
  client.send("POST /x/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nLeft: 9000\r\nContent-Length: 0\r\n\r\n");
  EXPECT_NE(server.request().find("POST"), std::string::npos);
  client.close();
  server.wait_for_end();
  std::promise<std::optional<std::string>> record;
  boost::asio::post(this->context, [&] { record.set_value(this->traffic->find_record("r1")); });
  const auto found = record.get_future().get();
  ASSERT_TRUE(found);
  EXPECT_NE(found->find(R"("verdict":"may-have-run")"), std::string::npos) << *found;
}

}  // namespace
