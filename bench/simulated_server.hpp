// A simulated backend server: its slots, its queue and the objects that it remembers.
#pragma once

#include <cstddef>
#include <deque>
#include <memory>

#include "simulated_request.hpp"
#include "zinnia/routing/lru_object_set.hpp"

namespace zinnia::bench {

/// \brief What a server does with a request that arrives.
enum class admission : unsigned char {
  /// A slot is free.
  run,
  /// It was added to the queue.
  wait,
  /// The queue is full.
  shed,
};

/// \brief Limits of a server, as in `scenario`.
struct server_limits {
  int slots{3};
  int queue{9};
  int remembered{43};
};

class simulated_server {
 public:
  simulated_server(service_id service_in, failure_domain_id domain_in, const server_limits& limits_in)
      : service{std::move(service_in)}, domain{std::move(domain_in)}, limits{limits_in} {}

  [[nodiscard]] admission admit(const std::shared_ptr<simulated_request>& arrived);
  /// \brief  Occupies a slot and remembers the object.
  /// \return True if the object was remembered before.
  [[nodiscard]] bool begin_work(std::uint64_t object);
  void end_work() noexcept { --this->running_count; }
  /// \brief Removes and returns the request that has waited longest; null if none waits or no slot is free.
  [[nodiscard]] std::shared_ptr<simulated_request> take_waiting();
  /// \brief Begins or ends an outage. Either forgets all objects.
  void set_lost(bool is_lost_in);

  [[nodiscard]] bool is_lost() const noexcept { return this->lost; }
  [[nodiscard]] int running() const noexcept { return this->running_count; }
  [[nodiscard]] int waiting() const noexcept { return static_cast<int>(this->queue.size()); }

  service_id service;
  failure_domain_id domain;
  /// Factor of the processing time.
  double slowdown_factor{1};

 private:
  server_limits limits;
  // Invariant: at most `limits.slots`.
  int running_count{0};
  // Invariant: at most `limits.queue`.
  std::deque<std::shared_ptr<simulated_request>> queue;
  lru_object_set warm_objects;
  bool lost{false};
};

}  // namespace zinnia::bench
