// Which nodes get holder notices and crash reports.
#include "zinnia/membership/notice_peers.hpp"

#include <gtest/gtest.h>

using namespace zinnia;

namespace {

void add(live_members& alive, const std::string& name, std::uint16_t port, bool serves) {
  auto& added = alive[node_id{name}];
  added.id = node_id{name};
  added.peer_address = {"10.0.0.1", 7};
  added.notice_port = port;
  added.serves = serves;
}

[[nodiscard]] notice_addresses addresses_of(const live_members& alive) {
  notice_addresses addresses;
  for (const auto& [id, known] : alive) {
    addresses[id] = {known.peer_address.ip, known.notice_port};
  }
  return addresses;
}

TEST(notice_peers, nodes_that_stand_by_are_told_of_crashes_and_not_of_holders) {
  live_members alive;
  add(alive, "self", 1, true);
  add(alive, "serving", 2, true);
  add(alive, "standby", 3, false);
  EXPECT_EQ(holder_notice_peers(alive, node_id{"self"}), (std::vector<ip_endpoint>{{"10.0.0.1", 2}}));
  auto ports = std::set<std::uint16_t>{};
  for (const auto& peer : crash_report_peers(addresses_of(alive), node_id{"self"})) {
    ports.insert(peer.port);
  }
  EXPECT_EQ(ports, (std::set<std::uint16_t>{2, 3}));
}

TEST(notice_peers, are_bounded_and_each_node_is_chosen_by_about_as_many_others) {
  constexpr int nodes = 300;
  live_members alive;
  for (int i = 0; i < nodes; ++i) {
    add(alive, "n" + std::to_string(i), static_cast<std::uint16_t>(i + 1), true);
  }
  std::map<std::uint16_t, int> chosen;
  for (const auto& [id, known] : alive) {
    const auto peers = crash_report_peers(addresses_of(alive), id);
    ASSERT_EQ(peers.size(), max_notice_peers);
    for (const auto& peer : peers) {
      ++chosen[peer.port];
    }
  }
  EXPECT_EQ(chosen.size(), static_cast<std::size_t>(nodes));
  for (const auto& [port, count] : chosen) {
    EXPECT_GT(count, static_cast<int>(max_notice_peers) / 3) << port;
  }
}

}  // namespace
