// Measures how long the thread of the proxies has not run.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace zinnia::soak {

/// \brief   Adds up by how much the thread of an event loop was late.
/// \details Meanwhile the proxies pass nothing on, so what callers have sent has not reached the nodes.
class stall_meter {
 public:
  using clock = std::chrono::steady_clock;

  explicit stall_meter(boost::asio::io_context& context) : timer{context} { this->wait(); }

  /// \brief Returns the sum since the start, with what the thread is late by at present. Thread-safe.
  [[nodiscard]] std::chrono::milliseconds total() const {
    return this->ended.load() + late_by(clock::now(), this->due.load());
  }

 private:
  static constexpr std::chrono::milliseconds period{10};
  static constexpr std::chrono::milliseconds tolerance{20};

  [[nodiscard]] static std::chrono::milliseconds late_by(clock::time_point now, clock::time_point due) {
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(now - due);
    return late > tolerance ? late : std::chrono::milliseconds{0};
  }
  void wait() {
    this->timer.expires_after(period);
    this->due = this->timer.expiry();
    this->timer.async_wait([this](const boost::system::error_code& problem) {
      if (!problem) {
        this->ended = this->ended.load() + late_by(clock::now(), this->due.load());
        this->wait();
      }
    });
  }

  boost::asio::steady_timer timer;
  std::atomic<clock::time_point> due{clock::now()};
  std::atomic<std::chrono::milliseconds> ended{std::chrono::milliseconds{0}};
};

}  // namespace zinnia::soak
