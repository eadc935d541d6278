// What this node knows of one backend server: load, health, warmth.
#pragma once

#include <cstdint>
#include <deque>
#include <string_view>

#include "zinnia/core/clock.hpp"
#include "zinnia/routing/declarations.hpp"
#include "zinnia/routing/lru_object_set.hpp"
#include "zinnia/routing/wait_queue.hpp"

namespace zinnia {

/// \brief Load that a backend server reports with an answer.
struct load_report {
  int running{0};
  int waiting{0};
  int slots{1};
};

/// \brief How a request to a backend server ended, as far as its health is concerned.
enum class backend_outcome : unsigned char {
  responded,
  /// It said that it had no room; nothing ran.
  shed,
  /// An error, or an answer that cannot be passed on.
  bad_response,
  /// The connection broke, or no answer came.
  no_response,
  /// It could not be reached.
  unreachable,
  /// The address belongs to another instance now.
  replaced,
};

enum class backend_availability : unsigned char {
  available,
  /// Gets nothing until a health check succeeds.
  suspended,
};

/// \brief   State of one backend server at this node. Not thread safe; all times are passed in.
/// \details Loads answered: slow servers (the slowness factor), servers that fail part of their requests (the
///          failure ratio, which placement turns into a cost), and lost ones (suspension until a health
///          check).
class backend_state {
 public:
  explicit backend_state(backend_declaration declaration);

  /// \name Declaration
  /// \{
  [[nodiscard]] const backend_declaration& declared() const noexcept { return this->declaration; }
  void update_declaration(const backend_declaration& declaration_in);
  [[nodiscard]] std::uint64_t hash() const noexcept { return this->id_hash; }
  /// \}

  /// \name Load
  /// \{
  void on_sent(time_point now);
  void on_report(const load_report& report, time_point now);
  /// \brief Requests that are there or on their way, from all nodes, as far as known.
  [[nodiscard]] double load(time_point now) const noexcept;
  [[nodiscard]] int in_flight() const noexcept { return this->own_in_flight; }
  /// \}

  /// \name Health
  /// \{
  /// \param expected How long the answer was expected to take.
  void on_ended(backend_outcome outcome, duration took, duration expected, time_point now);
  /// \brief Notes a request that was abandoned; says nothing of the server's health.
  void on_abandoned() noexcept { --this->own_in_flight; }
  void on_health_check(bool healthy, duration cold_left, time_point now);
  /// \brief Asks for a health check before the next request.
  void suspend(duration pause, time_point now) noexcept;
  [[nodiscard]] bool is_suspended() const noexcept {
    return this->availability == backend_availability::suspended;
  }
  [[nodiscard]] bool needs_health_check(time_point now) const noexcept {
    return this->is_suspended() && now >= this->check_at && !this->check_running;
  }
  void on_health_check_started() noexcept { this->check_running = true; }
  /// \brief Part of the latest requests that failed, 0 to 1; fades with time.
  [[nodiscard]] double failure_ratio(time_point now) const noexcept;
  /// \brief How many times longer than expected answers take; fades to 1 with time.
  [[nodiscard]] double slowness(time_point now) const noexcept;
  /// \}

  /// \name Cold start
  /// \{
  [[nodiscard]] bool is_cold(time_point now) const noexcept { return now < this->cold_until; }
  /// \brief Whether the server may get another request within a rate, counted over any second.
  [[nodiscard]] bool has_cold_room(double rate, time_point now) const noexcept;
  /// \brief Whether this node is the one that warms the server.
  bool is_warmed_by_this_node{false};
  /// \}

  lru_object_set objects;
  wait_queue queue;

 private:
  [[nodiscard]] double faded(double value, double neutral, time_point since, time_point now) const noexcept;

  backend_declaration declaration;
  std::uint64_t id_hash;
  int own_in_flight{0};
  // Requests of other nodes at the time of the last report, and their running average.
  double others_reported{0};
  double others_average{0};
  time_point reported_at;
  backend_availability availability{backend_availability::available};
  bool check_running{false};
  time_point check_at;
  duration next_pause;
  int losses_in_a_row{0};
  double failures{0};
  double slow_factor{1};
  time_point judged_at;
  time_point cold_until;
  // Times of the requests sent within the last second while cold.
  std::deque<time_point> cold_sends;
};

}  // namespace zinnia
