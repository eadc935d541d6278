// Drives all clients of a crowd with poll.
#include "client_crowd.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <string_view>
#include <utility>

namespace zinnia::testing_support {
namespace impl {
namespace {

constexpr int poll_interval_ms = 5;
/// Clients that have sent nothing for that long wait for the node.
constexpr std::chrono::milliseconds quiet_time{1500};

}  // namespace
}  // namespace impl

client_crowd::client_crowd(std::string ip_in, std::vector<crowd_plan> plans_in)
    : ip{std::move(ip_in)}, plans{std::move(plans_in)} {
  for (const auto& plan : this->plans) {
    for (int i = 0; i < plan.clients; ++i) {
      this->clients.emplace_back().plan = &plan;
    }
  }
  this->thread = std::thread{[this] { this->run(); }};
}

client_crowd::~client_crowd() {
  this->stopping = true;
  this->thread.join();
  for (const auto& left : this->clients) {
    if (left.descriptor >= 0) {
      ::close(left.descriptor);
    }
  }
}

bool client_crowd::wait_until_sent(std::chrono::seconds limit) const {
  const auto end = clock::now() + limit;
  auto last_sent = this->sent.load();
  auto last_change = clock::now();
  while (this->finished < this->clients.size() && clock::now() - last_change < impl::quiet_time) {
    if (clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{impl::poll_interval_ms});
    if (this->sent != last_sent) {
      last_sent = this->sent;
      last_change = clock::now();
    }
  }
  return true;
}

void client_crowd::open(client& opened) const {
  opened.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(opened.plan->port);
  inet_pton(AF_INET, this->ip.c_str(), &address.sin_addr);
  // An error shows when the socket is polled.
  static_cast<void>(
      ::connect(opened.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address));
  opened.step = 0;
  opened.repetition = 0;
  opened.offset = 0;
  opened.next_send = clock::now() + opened.plan->script.front().pause;
}

void client_crowd::lose(client& lost) {
  ::close(lost.descriptor);
  lost.descriptor = -1;
  this->finish(lost);
}

void client_crowd::finish(client& finished_client) {
  if (!finished_client.has_finished) {
    finished_client.has_finished = true;
    ++this->finished;
  }
}

bool client_crowd::holds(const client& holding) {
  const auto& script = holding.plan->script;
  return holding.step == script.size() || script[holding.step].pause > std::chrono::milliseconds{0};
}

bool client_crowd::wants_to_send(const client& waiting, clock::time_point now) {
  return waiting.step < waiting.plan->script.size() && now >= waiting.next_send;
}

void client_crowd::send(client& sender) {
  while (wants_to_send(sender, clock::now())) {
    const auto& step = sender.plan->script[sender.step];
    const std::string_view rest = std::string_view{step.bytes}.substr(sender.offset);
    const auto taken = ::send(sender.descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
    if (taken < 0) {
      if (errno != EAGAIN) {
        this->lose(sender);
      }
      return;
    }
    this->sent += static_cast<std::uint64_t>(taken);
    sender.offset += static_cast<std::size_t>(taken);
    if (sender.offset < step.bytes.size()) {
      return;
    }
    sender.offset = 0;
    if (++sender.repetition == step.count) {
      sender.repetition = 0;
      ++sender.step;
    }
    if (sender.step == sender.plan->script.size()) {
      return;
    }
    sender.next_send = clock::now() + sender.plan->script[sender.step].pause;
  }
}

void client_crowd::read(client& reader) {
  std::array<char, 16384> discarded{};
  const auto bytes = ::recv(reader.descriptor, discarded.data(), discarded.size(), 0);
  if (bytes == 0 || (bytes < 0 && errno != EAGAIN)) {
    this->lose(reader);
  }
}

void client_crowd::run() {
  for (auto& current : this->clients) {
    this->open(current);
  }
  std::vector<pollfd> entries(this->clients.size());
  while (!this->stopping) {
    const auto now = clock::now();
    for (std::size_t i = 0; i < this->clients.size(); ++i) {
      auto& current = this->clients[i];
      if (current.descriptor < 0 && current.plan->reconnects) {
        this->open(current);
      }
      const int reading = current.plan->reads ? POLLIN : 0;
      entries[i] = {
          current.descriptor,
          static_cast<short>(reading | (wants_to_send(current, now) || !current.has_finished ? POLLOUT : 0)),
          0};
    }
    ::poll(entries.data(), entries.size(), impl::poll_interval_ms);
    for (std::size_t i = 0; i < this->clients.size(); ++i) {
      auto& current = this->clients[i];
      const auto events = entries[i].revents;
      if ((events & POLLIN) != 0) {
        this->read(current);
      } else if ((events & (POLLERR | POLLHUP | POLLNVAL)) != 0) {
        this->lose(current);
      }
      if (current.descriptor >= 0 && (events & POLLOUT) != 0) {
        this->send(current);
      }
      if (current.descriptor >= 0 && (events & POLLOUT) != 0 && holds(current)) {
        this->finish(current);
      }
    }
  }
}

}  // namespace zinnia::testing_support
