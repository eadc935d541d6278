// Non-blocking UDP with Asio; datagrams that cannot be sent at once are dropped.
#include "notice_exchange.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <iterator>
#include <span>

#include "zinnia/membership/account_limit_codec.hpp"
#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

using error_code = boost::system::error_code;
using udp = boost::asio::ip::udp;

/// How long a notice waits for others: far less than a server needs to load an object.
constexpr duration load_notice_delay{50};
/// The same for a notice that only confirms what a server holds.
constexpr duration confirmation_delay{1000};
constexpr std::size_t max_datagram_bytes = 2048;
/// Peers to which reports are repeated at a time, at most: with one repetition a second, a node that starts
/// again hears from its peers, however many, four times a second on average.
constexpr std::size_t max_peers_per_repetition = 4;
/// Bytes of one repetition to all its peers, unless a single datagram is larger.
constexpr std::size_t max_repetition_bytes = 1'200;

/// Leaves out addresses that cannot be read or have no port.
[[nodiscard]] std::vector<udp::endpoint> to_endpoints(const std::vector<ip_endpoint>& addresses) {
  std::vector<udp::endpoint> endpoints;
  for (const auto& address : addresses) {
    error_code problem;
    const auto ip = boost::asio::ip::make_address_v4(address.ip, problem);
    if (!problem && address.port != 0) {
      endpoints.emplace_back(ip, address.port);
    }
  }
  return endpoints;
}

}  // namespace
}  // namespace impl

notice_exchange::notice_exchange(boost::asio::io_context& context, const ip_endpoint& address,
                                 metrics& counts_in, notice_handler on_notices_in)
    : socket{context}, counts{counts_in}, on_notices{std::move(on_notices_in)} {
  impl::error_code problem;
  const auto ip = boost::asio::ip::make_address_v4(address.ip, problem);
  if (!problem) {
    this->socket.open(impl::udp::v4(), problem);
  }
  if (!problem) {
    this->socket.bind({ip, address.port}, problem);
  }
  if (!problem) {
    this->socket.non_blocking(true, problem);
  }
  if (problem) {
    log_line{log_level::error, "holder_notices_unavailable"}
        .field("address", address.str())
        .field("cause", problem.message());
    this->socket.close(problem);
    return;
  }
  this->bound_port = this->socket.local_endpoint().port();
  this->receive_next();
}

void notice_exchange::set_peers(const std::vector<ip_endpoint>& holder_peers_in,
                                const std::vector<ip_endpoint>& report_peers_in) {
  this->holder_peers = impl::to_endpoints(holder_peers_in);
  this->report_peers = impl::to_endpoints(report_peers_in);
}

void notice_exchange::offer(std::vector<holder_notice> notices, time_point now) {
  for (const auto& notice : notices) {
    const bool is_load = notice.loads_for > duration{0};
    this->due = std::min(this->due, now + (is_load ? impl::load_notice_delay : impl::confirmation_delay));
  }
  std::move(notices.begin(), notices.end(), std::back_inserter(this->waiting));
  if (now >= this->due) {
    this->send_all();
  }
}

void notice_exchange::send_all() {
  this->due = far_future;
  const auto notices = std::exchange(this->waiting, {});
  for (std::size_t first = 0; first < notices.size(); first += max_notices_per_datagram) {
    const auto count = std::min(max_notices_per_datagram, notices.size() - first);
    const auto datagram = encode_holder_notices(std::span{notices}.subspan(first, count));
    for (const auto& peer : this->holder_peers) {
      this->send_datagram(datagram, peer);
    }
  }
}

void notice_exchange::send(std::span<const crash_report> reports) {
  for (std::size_t first = 0; first < reports.size(); first += max_notices_per_datagram) {
    const auto count = std::min(max_notices_per_datagram, reports.size() - first);
    const auto datagram = encode_crash_reports(reports.subspan(first, count));
    for (const auto& peer : this->report_peers) {
      this->send_datagram(datagram, peer);
    }
  }
}

void notice_exchange::send(const ip_endpoint& to, const account_messages& messages) {
  const auto datagram = encode_account_messages(messages);
  for (const auto& peer : impl::to_endpoints({to})) {
    this->send_datagram(datagram, peer);
  }
}

void notice_exchange::repeat(std::span<const crash_report> reports) {
  if (reports.empty()) {
    return;
  }
  const auto datagram =
      encode_crash_reports(reports.first(std::min(reports.size(), max_notices_per_datagram)));
  const auto affordable = std::clamp<std::size_t>(impl::max_repetition_bytes / datagram.size(), 1,
                                                  impl::max_peers_per_repetition);
  const auto count = std::min(this->report_peers.size(), affordable);
  for (std::size_t i = 0; i < count; ++i) {
    this->send_datagram(datagram, this->report_peers[this->repeated_to++ % this->report_peers.size()]);
  }
}

void notice_exchange::send_datagram(const std::string& datagram, const impl::udp::endpoint& peer) {
  if (this->bound_port == 0) {
    return;
  }
  // Errors are ignored: what matters is repeated.
  impl::error_code ignored;
  this->socket.send_to(boost::asio::buffer(datagram), peer, 0, ignored);
}

void notice_exchange::receive_next() {
  this->socket.async_wait(impl::udp::socket::wait_read, [this](const impl::error_code& problem) {
    if (!problem) {
      this->receive_all();
      this->receive_next();
    }
  });
}

void notice_exchange::receive_all() {
  std::array<char, impl::max_datagram_bytes> buffer{};
  impl::error_code problem;
  while (true) {
    impl::udp::endpoint sender;
    const auto bytes = this->socket.receive_from(boost::asio::buffer(buffer), sender, 0, problem);
    if (problem) {
      return;
    }
    auto decoded = decode_notices({buffer.data(), bytes});
    if (decoded) {
      auto notices = std::move(decoded).value();
      notices.sender = {sender.address().to_string(), sender.port()};
      this->on_notices(notices);
    } else {
      this->counts.add(counter::malformed_frames);
    }
  }
}

}  // namespace zinnia
