// Stand-in for the links between places: forwards TCP connections and delays the bytes.
//
// Usage: standin_link --pair 127.0.1.1:7001=127.0.1.1:7101 --domain-ms 1 --region-ms 55
// The third part of an address is its region, the last part's parity its failure domain.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <condition_variable>
#include <cstring>
#include <deque>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "standins/http_server.hpp"
#include "zinnia/core/clock.hpp"

namespace {

using steady = std::chrono::steady_clock;

struct delays {
  int domain_ms{0};
  int region_ms{0};
};

[[nodiscard]] sockaddr_in to_address(const std::string& text) {
  const auto colon = text.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

[[nodiscard]] std::chrono::milliseconds delay_between(const sockaddr_in& a, const sockaddr_in& b,
                                                      const delays& given) {
  const auto from = ntohl(a.sin_addr.s_addr);
  const auto to = ntohl(b.sin_addr.s_addr);
  const bool same_region = ((from >> 8U) & 255U) == ((to >> 8U) & 255U);
  const bool same_domain = same_region && (from & 1U) == (to & 1U);
  const int ms = same_domain ? 0 : (same_region ? given.domain_ms : given.region_ms);
  return std::chrono::milliseconds{ms};
}

/// Bytes on their way, each with the time at which they arrive; an empty text is the end of the stream.
class delayed_pipe {
 public:
  void push(std::string bytes, std::chrono::milliseconds delay) {
    const std::lock_guard lock{this->mutex};
    this->queue.emplace_back(steady::now() + delay, std::move(bytes));
    this->changed.notify_one();
  }

  [[nodiscard]] std::string pop() {
    std::unique_lock lock{this->mutex};
    this->changed.wait(lock, [this] { return !this->queue.empty(); });
    auto [due, bytes] = std::move(this->queue.front());
    this->queue.pop_front();
    lock.unlock();
    std::this_thread::sleep_until(due);
    return bytes;
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::pair<steady::time_point, std::string>> queue;
};

void read_into(int from, delayed_pipe& pipe, std::chrono::milliseconds delay) {
  constexpr std::size_t step_bytes = 64 << 10;
  while (true) {
    std::string bytes(step_bytes, '\0');
    const auto got = ::recv(from, bytes.data(), bytes.size(), 0);
    bytes.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    const bool ended = bytes.empty();
    pipe.push(std::move(bytes), delay);
    if (ended) {
      return;
    }
  }
}

void write_from(delayed_pipe& pipe, int to) {
  while (true) {
    const auto bytes = pipe.pop();
    if (bytes.empty()) {
      ::shutdown(to, SHUT_WR);
      return;
    }
    std::size_t written = 0;
    while (written < bytes.size()) {
      const auto sent = ::send(to, bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL);
      if (sent <= 0) {
        return;
      }
      written += static_cast<std::size_t>(sent);
    }
  }
}

void serve(int near, const sockaddr_in& source, const sockaddr_in& target, const delays& given) {
  const int far = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt(far, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(far, reinterpret_cast<const sockaddr*>(&target), sizeof target) == 0) {
    const auto delay = delay_between(source, target, given);
    delayed_pipe out;
    delayed_pipe back;
    std::thread reads_near{[&] { read_into(near, out, delay); }};
    std::thread writes_far{[&] { write_from(out, far); }};
    std::thread reads_far{[&] { read_into(far, back, delay); }};
    write_from(back, near);
    ::shutdown(near, SHUT_RDWR);
    ::shutdown(far, SHUT_RDWR);
    reads_near.join();
    writes_far.join();
    reads_far.join();
  }
  ::close(near);
  ::close(far);
}

void listen_for(const std::string& pair, const delays& given) {
  const auto middle = pair.find('=');
  const auto local = to_address(pair.substr(0, middle));
  const auto target = to_address(pair.substr(middle + 1));
  const int listening = ::socket(AF_INET, SOCK_STREAM, 0);
  const int on = 1;
  setsockopt(listening, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(listening, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 ||
      ::listen(listening, SOMAXCONN) != 0) {
    std::cerr << "standin_link: cannot listen for " << pair << '\n';
    return;
  }
  while (true) {
    sockaddr_in source{};
    socklen_t size = sizeof source;
    const int accepted = ::accept(listening, reinterpret_cast<sockaddr*>(&source), &size);
    if (accepted >= 0) {
      std::thread{[accepted, source, target, given] { serve(accepted, source, target, given); }}.detach();
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  delays given;
  std::vector<std::string> pairs;
  po::options_description flags{"standin_link"};
  auto add = flags.add_options();
  add("pair", po::value(&pairs)->composing(), "listen=target, may be repeated");
  add("domain-ms", po::value(&given.domain_ms)->default_value(1), "one way between failure domains");
  add("region-ms", po::value(&given.region_ms)->default_value(55), "one way between regions");
  po::variables_map parsed;
  po::store(po::parse_command_line(argc, argv, flags), parsed);
  po::notify(parsed);
  zinnia::standins::block_stop_signals();
  for (const auto& pair : pairs) {
    std::thread{[pair, given] { listen_for(pair, given); }}.detach();
  }
  std::cout << "listening" << std::endl;
  zinnia::standins::wait_for_stop_signal();
  std::_Exit(0);
}
