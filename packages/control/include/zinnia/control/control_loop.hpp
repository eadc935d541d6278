// The control thread: drives the node machine with messages, store answers and time, and performs its
// actions.
#pragma once

#include <absl/synchronization/mutex.h>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "zinnia/observe/metrics.hpp"
#include "zinnia/steering/node_machine.hpp"
#include "zinnia/store/object_store.hpp"
#include "zinnia/wire/control_links.hpp"

namespace zinnia {

/// \brief   Owns the machine and the threads around it.
/// \details Store calls run on a thread of their own, one at a time and in order; the watch on another.
class control_loop {
 public:
  /// \param publish Called on the control thread with each new view; must return once the view is in use.
  control_loop(const node_identity& self, lease_terms terms, const occupancy& traffic, object_store& platform,
               const clock_source& time, metrics& numbers,
               std::function<void(std::shared_ptr<const traffic_view>)> publish);
  control_loop(const control_loop&) = delete;
  control_loop& operator=(const control_loop&) = delete;
  control_loop(control_loop&&) = delete;
  control_loop& operator=(control_loop&&) = delete;
  ~control_loop();

  /// \brief Hands in a message from a peer; called from any thread.
  void receive(const node_id& from, peer_message message);
  /// \brief Begins a graceful stop.
  void begin_leaving();
  /// \brief Nothing is held and nothing in flight any more.
  [[nodiscard]] bool has_left() const noexcept { return this->left.load(); }
  /// \brief A drain of this entry has begun in the settings.
  [[nodiscard]] bool is_drained() const noexcept { return this->drained.load(); }

 private:
  using input = std::function<void(node_machine&, time_point)>;

  void post(input event);
  void run();
  void perform(const std::vector<node_action>& actions);
  void send_to_peer(const send_action& action);
  void enqueue_store(std::function<void()> call);
  void run_store();
  void run_watch();
  void read_object(const std::string& key);
  void write_object(const write_action& action);
  void announce();

  const clock_source& clock;
  metrics& counts;
  object_store& store;
  std::function<void(std::shared_ptr<const traffic_view>)> on_view;
  node_machine machine;
  control_links links;
  std::uint64_t announced{0};
  std::string logged_settings_error;
  object_version logged_settings;
  std::atomic<bool> left{false};
  std::atomic<bool> drained{false};
  std::atomic<bool> watching{true};
  std::atomic<bool> stopping{false};
  absl::Mutex mutex;
  std::deque<input> inbox;
  absl::Mutex store_mutex;
  std::deque<std::function<void()>> store_calls;
  std::thread store_thread;
  std::thread watch_thread;
  std::thread thread;
};

}  // namespace zinnia
