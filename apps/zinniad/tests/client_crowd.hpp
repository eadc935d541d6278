// Many clients that send scripted bytes at the same time, from one thread, and keep their connections open.
#pragma once

#include <poll.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

namespace zinnia::testing_support {

/// \brief Bytes that a client sends `count` times, each time after a pause.
struct script_step {
  std::string bytes;
  std::uint64_t count{1};
  std::chrono::milliseconds pause{0};
};

/// \brief Clients that all do the same.
struct crowd_plan {
  std::uint16_t port{0};
  int clients{40};
  std::vector<script_step> script;
  /// False for clients that never read a response.
  bool reads{true};
  /// Opens a new connection, and starts the script again, whenever the node closes one.
  bool reconnects{false};
};

/// \brief Runs the clients until destroyed. A client whose script has ended keeps its connection open.
class client_crowd {
 public:
  client_crowd(std::string ip_in, std::vector<crowd_plan> plans_in);
  client_crowd(const client_crowd&) = delete;
  client_crowd& operator=(const client_crowd&) = delete;
  client_crowd(client_crowd&&) = delete;
  client_crowd& operator=(client_crowd&&) = delete;
  ~client_crowd();

  /// \brief   Waits until every client is connected and has sent its script, up to the first step with a
  ///          pause, or has lost its connection once; or until nothing has been sent for some time.
  /// \returns False if clients are still sending after `limit`.
  [[nodiscard]] bool wait_until_sent(std::chrono::seconds limit) const;
  [[nodiscard]] std::uint64_t bytes_sent() const noexcept { return this->sent; }

 private:
  using clock = std::chrono::steady_clock;

  struct client {
    const crowd_plan* plan{nullptr};
    int descriptor{-1};
    std::size_t step{0};
    std::uint64_t repetition{0};
    std::size_t offset{0};
    clock::time_point next_send;
    bool has_finished{false};
  };

  void run();
  void open(client& opened) const;
  void lose(client& lost);
  void finish(client& finished_client);
  /// Sends as much as the socket takes.
  void send(client& sender);
  void read(client& reader);
  [[nodiscard]] static bool wants_to_send(const client& waiting, clock::time_point now);
  [[nodiscard]] static bool holds(const client& holding);

  std::string ip;
  std::vector<crowd_plan> plans;
  std::vector<client> clients;
  std::atomic<bool> stopping{false};
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::size_t> finished{0};
  std::thread thread;
};

}  // namespace zinnia::testing_support
