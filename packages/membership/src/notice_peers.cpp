// Ranks nodes by rendezvous hashing, so that each node chooses others.
#include "zinnia/membership/notice_peers.hpp"

#include <algorithm>
#include <utility>

#include "zinnia/core/rendezvous.hpp"

namespace zinnia {
namespace impl {
namespace {

[[nodiscard]] std::vector<ip_endpoint> choose_peers(const live_members& alive, const node_id& self,
                                                    bool only_serving) {
  std::vector<std::pair<std::uint64_t, ip_endpoint>> ranked;
  for (const auto& [id, known] : alive) {
    if ((known.serves || !only_serving) && id != self) {
      ranked.emplace_back(rendezvous_weight(self.str(), id.str()),
                          ip_endpoint{known.peer_address.ip, known.notice_port});
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
  return impl::choose_peers(alive, self, true);
}

std::vector<ip_endpoint> crash_report_peers(const live_members& alive, const node_id& self) {
  return impl::choose_peers(alive, self, false);
}

}  // namespace zinnia
