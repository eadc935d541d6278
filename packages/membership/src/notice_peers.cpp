// Ranks nodes by rendezvous hashing, so that each node chooses others.
#include "zinnia/membership/notice_peers.hpp"

#include <algorithm>
#include <utility>

#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Chooses at most `max_notice_peers` nodes other than `self`.
[[nodiscard]] std::vector<ip_endpoint> choose_peers(const notice_addresses& nodes, const node_id& self) {
  std::vector<std::pair<std::uint64_t, ip_endpoint>> ranked;
  for (const auto& [id, address] : nodes) {
    if (id != self) {
      ranked.emplace_back(rendezvous_weight(self.str(), id.str()), address);
    }
  }
  const auto count = std::min(ranked.size(), max_notice_peers);
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                    [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<ip_endpoint> addresses;
  for (std::size_t i = 0; i < count; ++i) {
    addresses.push_back(ranked[i].second);
  }
  return addresses;
}

}  // namespace
}  // namespace impl

std::vector<ip_endpoint> holder_notice_peers(const live_members& alive, const node_id& self) {
  notice_addresses serving;
  for (const auto& [id, known] : alive) {
    if (known.serves) {
      serving.emplace(id, ip_endpoint{known.peer_address.ip, known.notice_port});
    }
  }
  return impl::choose_peers(serving, self);
}

std::vector<ip_endpoint> crash_report_peers(const notice_addresses& registered, const node_id& self) {
  return impl::choose_peers(registered, self);
}

}  // namespace zinnia
