// This node's view of one backend server: load, health, cold start and recently used objects.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/routing/backend_statement.hpp"
#include "zinnia/routing/declarations.hpp"
#include "zinnia/routing/lru_object_set.hpp"
#include "zinnia/routing/rate_limit_share.hpp"
#include "zinnia/routing/recovery_pace.hpp"
#include "zinnia/routing/reported_pace.hpp"
#include "zinnia/routing/robust_slowness.hpp"
#include "zinnia/routing/wait_queue.hpp"

namespace zinnia {

/// \brief Result of one request to a backend server, as used for health tracking.
enum class backend_outcome : unsigned char {
  responded,
  /// The server rejected the request because it was full; the request did not run.
  shed,
  /// An error response, or a response that cannot be forwarded.
  bad_response,
  /// The connection broke or the response did not arrive.
  no_response,
  /// The connection could not be established.
  unreachable,
  /// Another instance now uses the address.
  replaced,
};

enum class backend_availability : unsigned char {
  available,
  /// Receives no requests until a health check succeeds.
  suspended,
};

/// \brief   State of one backend server at this node. Not thread safe; the caller passes in all times.
/// \details Three mechanisms handle degraded servers: a slowness factor for slow servers, a failure ratio for
///          servers that fail some of their requests (placement turns it into a cost), and suspension until a
///          successful health check for servers that stop responding.
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
  /// \brief Records that another node's request makes the server load an object until `loaded_at`.
  void on_peer_load(time_point loaded_at, time_point now);
  /// \brief Estimated number of requests from all nodes that are at the server or in flight to it.
  [[nodiscard]] double load(time_point now) const noexcept;
  [[nodiscard]] int in_flight() const noexcept { return this->own_in_flight; }
  /// \}

  /// \name Statements
  /// \{
  /// \brief Applies what the server said about itself in a response.
  void on_statement(const backend_statement& statement, time_point now);
  /// \brief Requests per second that the server accepts from all nodes together; empty if it names no limit.
  [[nodiscard]] std::optional<double> rate_limit() const noexcept { return this->rate_share.limit(); }
  /// \brief This node's part of the limit, in requests per second; 0 if the server names none.
  [[nodiscard]] double rate_of_this_node() const noexcept { return this->rate_share.rate(); }
  /// \brief When this node's part of the limit next permits a request; `now` or earlier if it does already.
  [[nodiscard]] time_point next_send_at(time_point now) const noexcept {
    return this->rate_share.next_send_at(now);
  }
  /// \brief True once the server has said that it is leaving; it stays so until the server starts again.
  [[nodiscard]] bool is_leaving() const noexcept { return this->leaving; }
  void set_leaving() noexcept { this->leaving = true; }
  /// \brief True while the server wants no requests because it said that it was busy.
  [[nodiscard]] bool is_busy(time_point now) const noexcept { return now < this->busy_until; }
  /// \brief End of that time; in the past for a server that is not busy.
  [[nodiscard]] time_point busy_end() const noexcept { return this->busy_until; }
  /// \brief False while the server is busy. Afterwards one request is admitted, and others once it is
  ///        answered.
  [[nodiscard]] bool admits_after_busy(time_point now) const noexcept {
    return !this->is_busy(now) && (!this->returns_from_busy || this->own_in_flight == 0);
  }
  [[nodiscard]] bool within_rate_limit(time_point now) const noexcept {
    return this->rate_share.permits(now);
  }
  void set_standing(const node_standing& standing, time_point now) noexcept;
  /// \}

  /// \name Health
  /// \{
  /// \param expected Expected time from sending the request to the response.
  void on_ended(backend_outcome outcome, duration took, duration expected, time_point now);
  /// \brief Records that a request was abandoned. Does not affect the server's health.
  void on_abandoned() noexcept { --this->own_in_flight; }
  /// \brief Takes back the server's failures without a response since `since`, and a suspension for them:
  /// they
  ///        were this node's links' fault.
  void forgive_failures(time_point since) noexcept;
  void on_health_check(bool healthy, duration cold_remaining, time_point now);
  /// \brief Suspends the server until a health check succeeds; the first check is due after `pause`.
  void suspend(duration pause, time_point now) noexcept;
  /// \brief Suspends a server at which no process listens.
  void suspend_until_checked(time_point now) noexcept;
  [[nodiscard]] bool is_suspended() const noexcept {
    return this->availability == backend_availability::suspended;
  }
  /// \brief When the next health check of a suspended server is due; in the past while one is in progress.
  [[nodiscard]] time_point next_health_check_at() const noexcept { return this->next_check_at; }
  [[nodiscard]] bool needs_health_check(time_point now) const noexcept {
    const bool is_due = this->is_suspended() && now >= this->next_check_at;
    return (is_due || now >= this->extra_check_at) && !this->health_check_running;
  }
  /// \brief Requests a health check at that time, also if the server is not suspended.
  void request_health_check(time_point at) noexcept { this->extra_check_at = at; }
  void on_health_check_started() noexcept {
    this->health_check_running = true;
    this->extra_check_at = far_future;
  }
  /// \brief Moving average of failed requests, 0 to 1; decays to 0 over time.
  [[nodiscard]] double failure_ratio(time_point now) const noexcept;
  /// \brief Factor on the usual time of work: the mean over the next `horizon` of what the server reports, or
  ///        what its answers show if it reports nothing.
  [[nodiscard]] double slowness(time_point now, duration horizon = {}) const noexcept;
  /// \brief Moving average of actual over expected response time; decays to 1 over time.
  [[nodiscard]] double learned_slowness(time_point now) const noexcept;
  /// \brief Sets whether single long answers count little in the learned slowness, also if the server
  ///        reports no pace.
  void set_robust_slowness(bool robust) noexcept { this->asks_for_robust_slowness = robust; }
  /// \brief The pace that the server reports.
  [[nodiscard]] const reported_pace& pace() const noexcept { return this->work_pace; }
  /// \brief Records by what factor an answer that found a free slot took longer than on a usual server.
  void on_work_ratio(double ratio, duration took, time_point now) noexcept {
    this->work_pace.on_answer(ratio, took, now);
  }
  /// \}

  /// \name Recovery
  /// \{
  /// \brief Sets if requests return to the server at a pace found from its answers.
  void set_paces_recovery(bool enabled) noexcept;
  /// \brief Limits the server's requests until its answers show that it keeps up, if that is enabled.
  void begin_recovery(time_point now) noexcept;
  [[nodiscard]] const recovery_pace& recovery() const noexcept { return this->recovery_limit; }
  /// \brief   Records an answer for the pace of the recovery.
  /// \param   slowness Time taken over the time that other servers take for such work now.
  /// \returns The time that the recovery took if the answer ends it.
  std::optional<duration> on_recovery_answer(double slowness, duration took, time_point now) noexcept;
  /// \}

  /// \name Cold start
  /// \{
  [[nodiscard]] bool is_cold(time_point now) const noexcept { return now < this->cold_until; }
  /// \brief Returns true if another request keeps the cold server within `rate` requests in the last second.
  [[nodiscard]] bool within_cold_rate(double rate, time_point now) const noexcept;
  /// \brief True if this node is the one that sends requests to the server while it is cold.
  bool is_warmed_by_this_node{false};
  /// \}

  lru_object_set objects;
  wait_queue queue;

 private:
  [[nodiscard]] static duration recovery_spread_for(const node_standing& standing) noexcept;
  void note_failure(time_point now) noexcept;
  void suspend_for_failure(time_point now) noexcept;
  [[nodiscard]] double decayed(double value, double neutral, time_point since, time_point now) const noexcept;

  backend_declaration declaration;
  std::uint64_t id_hash;
  bool paces_recovery{false};
  recovery_pace recovery_limit;
  // Upper limit on the delay of a recovery's first request.
  duration recovery_spread{0};
  int own_in_flight{0};
  // Requests from other nodes according to the last report, and their moving average.
  double other_nodes_load{0};
  double other_nodes_load_average{0};
  time_point last_report_at;
  // Other nodes' requests that make the server load an object, since its last report: the times of their
  // ends.
  std::vector<time_point> peer_loads;
  rate_limit_share rate_share;
  bool leaving{false};
  time_point busy_until;
  // No request has been answered since the server was busy.
  bool returns_from_busy{false};
  // Differs from node to node.
  std::uint64_t node_phase{0};
  backend_availability availability{backend_availability::available};
  bool health_check_running{false};
  time_point next_check_at;
  time_point extra_check_at{far_future};
  duration check_pause;
  int consecutive_no_responses{0};
  // The first failure without a response since the last response, and the average before it.
  time_point failing_since{far_future};
  double failure_average_before{0};
  // When the server was suspended for such a failure; `far_future` if it is not.
  time_point suspended_for_failure_at{far_future};
  double failure_average{0};
  double slowness_average{1};
  robust_slowness robust_average;
  bool asks_for_robust_slowness{false};
  reported_pace work_pace;
  time_point last_outcome_at;
  time_point cold_until;
  // Send times of the requests of the last second while the server is cold.
  std::deque<time_point> cold_sends;
};

}  // namespace zinnia
