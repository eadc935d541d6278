// Sends notices between two exchanges on the loopback interface; the clock is set by hand.
#include "notice_exchange.hpp"

#include <gtest/gtest.h>

#include "zinnia/membership/holder_notice_codec.hpp"

using namespace zinnia;

namespace {

class notice_exchange_test : public testing::Test {
 protected:
  void poll_until(std::size_t count) {
    while (this->received.size() < count) {
      this->context.run_one();
    }
  }

  boost::asio::io_context context;
  metrics counts;
  std::vector<holder_notice> received;
  std::vector<crash_report> reports;
  notice_exchange sender{this->context, {"127.0.0.1", 0}, this->counts, [](const auto&) {}};
  notice_exchange receiver{
      this->context, {"127.0.0.1", 0}, this->counts, [this](const auto& notices) {
        this->received.insert(this->received.end(), notices.holders.begin(), notices.holders.end());
        this->reports.insert(this->reports.end(), notices.crashes.begin(), notices.crashes.end());
      }};
};

TEST_F(notice_exchange_test, load_notices_wait_briefly_and_confirmations_longer) {
  this->sender.set_peers({{"127.0.0.1", this->receiver.port()}, {"127.0.0.1", 0}, {"unreadable", 5}}, {});
  this->sender.offer({{1, 2, duration{0}}}, time_point{1'000});
  this->sender.offer({}, time_point{1'900});
  this->sender.offer({{3, 4, duration{240}}}, time_point{1'910});
  this->context.poll();
  EXPECT_TRUE(this->received.empty());
  this->sender.offer({}, time_point{1'960});
  this->poll_until(2);
  EXPECT_EQ(this->received, (std::vector<holder_notice>{{1, 2, duration{0}}, {3, 4, duration{240}}}));
  this->sender.offer({}, time_point{9'000});
  this->context.poll();
  EXPECT_EQ(this->received.size(), 2U);
}

TEST_F(notice_exchange_test, many_notices_take_several_datagrams) {
  this->sender.set_peers({{"127.0.0.1", this->receiver.port()}}, {});
  std::vector<holder_notice> notices;
  for (std::uint64_t i = 0; i < 3 * max_notices_per_datagram; ++i) {
    notices.push_back({i, i, duration{1}});
  }
  this->sender.offer(notices, time_point{1'000});
  this->sender.offer({}, time_point{1'100});
  this->poll_until(notices.size());
  EXPECT_EQ(this->received.size(), notices.size());
}

TEST_F(notice_exchange_test, sends_crash_reports_at_once_and_repeats_them_to_all_peers_in_turn) {
  constexpr std::size_t other_peers = 7;
  std::vector<ip_endpoint> peers(other_peers, {"127.0.0.1", this->sender.port()});
  peers.push_back({"127.0.0.1", this->receiver.port()});
  this->sender.set_peers({}, peers);
  const std::vector<crash_report> sent{{request_fingerprint{1}, 2, 3, 4, duration{5}, duration{6}}};
  this->sender.send(sent);
  while (this->reports.empty()) {
    this->context.run_one();
  }
  EXPECT_EQ(this->reports, sent);
  this->sender.repeat({});
  this->sender.repeat(sent);
  this->context.poll();
  EXPECT_EQ(this->reports.size(), 1U);
  this->sender.repeat(sent);
  while (this->reports.size() < 2) {
    this->context.run_one();
  }
}

// Guards against grants that go to another address than the ask came from.
TEST_F(notice_exchange_test, hands_over_asks_with_the_address_of_the_sender) {
  node_notices asked;
  notice_exchange holder{
      this->context, {"127.0.0.1", 0}, this->counts, [&](const auto& notices) { asked = notices; }};
  this->sender.send({"127.0.0.1", holder.port()}, {{{1, 2, 3}}, {}});
  while (asked.accounts.asks.empty()) {
    this->context.run_one();
  }
  EXPECT_EQ(asked.accounts.asks, (std::vector<account_ask>{{1, 2, 3}}));
  EXPECT_EQ(asked.sender, (ip_endpoint{"127.0.0.1", this->sender.port()}));
}

TEST_F(notice_exchange_test, counts_what_it_cannot_read) {
  boost::asio::ip::udp::socket socket{this->context, boost::asio::ip::udp::v4()};
  const boost::asio::ip::udp::endpoint to{boost::asio::ip::address_v4::loopback(), this->receiver.port()};
  socket.send_to(boost::asio::buffer(std::string(100, '\xff')), to);
  while (this->counts.value(counter::malformed_frames) == 0) {
    this->context.run_one();
  }
  EXPECT_TRUE(this->received.empty());
}

}  // namespace
