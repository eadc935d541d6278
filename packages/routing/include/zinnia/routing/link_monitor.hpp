// Recognises that this node has lost its links to all backend servers, as opposed to servers that fail.
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/ids.hpp"

namespace zinnia {

enum class link_condition : unsigned char {
  up,
  /// Several servers failed or are silent; checks of others decide.
  suspected,
  /// Responses still arrive on connections that are open, but no server can be connected to.
  half_open,
  /// No server responds.
  lost,
};

/// \brief Returns the state's name in the log, such as "half-open".
[[nodiscard]] std::string_view to_string(link_condition value) noexcept;

/// \brief   Watches all calls to backend servers and decides if this node still reaches any. Not thread safe.
/// \details Only a response counts as a sign of life: a host or a network may accept connections that no
///          server answers. Servers that fail raise a suspicion, which a round of link checks at other
///          servers confirms or clears. A suspicion never needs more than one round at a time.
class link_monitor {
 public:
  /// \name Calls. Servers are given by the hash of their id.
  /// \{
  void on_sent(std::uint64_t backend, time_point now);
  /// \brief Records that a part of a response arrived.
  void on_life(time_point now);
  /// \brief Records that a call ended without any part of a response.
  /// \param connecting The connection could not be established.
  void on_failed(std::uint64_t backend, bool connecting, time_point now);
  /// \brief Records the end of a call, however it ended.
  void on_ended(std::uint64_t backend, time_point now);
  /// \brief Records that a connection was established and a response arrived on it.
  void on_connected();
  /// \}

  /// \name Link checks
  /// \{
  /// \brief Starts a round of checks although no suspicion calls for one, unless one is in progress.
  void request_round(time_point now);
  /// \brief Returns true if a round of checks should be started now.
  [[nodiscard]] bool wants_checks(time_point now) const noexcept;
  /// \brief Records the servers that are checked; without any, nothing can be found out, and the links count
  /// as up.
  void on_checks_started(const std::vector<std::uint64_t>& checked, time_point now);
  /// \param started_at When the check began to connect.
  void on_check_answered(std::uint64_t backend, time_point started_at, time_point now);
  void on_check_failed(std::uint64_t backend, time_point now);
  /// \}

  /// \brief Brings the state up to date; called several times a second.
  /// \param has_open_connections True if there are idle connections to servers.
  void update(time_point now, bool has_open_connections);
  [[nodiscard]] link_condition state() const noexcept { return this->pinned.value_or(this->current); }
  /// \brief True if no backend server can be reached.
  [[nodiscard]] bool is_lost(time_point now) const;
  /// \brief Shows this state whatever happens, or the real one again; for tests of what depends on it.
  void pin(std::optional<link_condition> state_in) noexcept { this->pinned = state_in; }
  /// \brief The time since the last sign of life.
  [[nodiscard]] duration silence(time_point now) const noexcept { return now - this->last_life_at; }
  /// \brief The beginning of the current or last round of checks.
  [[nodiscard]] time_point round_began() const noexcept { return this->round_started_at; }
  /// \brief The time since which failures may be due to the links; meaningful unless they are up.
  [[nodiscard]] time_point trouble_since() const noexcept { return this->trouble_began; }

 private:
  /// Calls to one server that have had no sign of life.
  struct open_calls {
    int count{0};
    // Of the earliest of them.
    time_point sent_at;
    time_point ended_at;
  };
  /// True if calls to the server have had no sign of life for that long, and have not failed.
  [[nodiscard]] bool is_silent(std::uint64_t backend, const open_calls& open, duration silence_needed,
                               time_point now) const noexcept;
  /// True if several servers fail or are silent, or one is for a long time.
  [[nodiscard]] bool has_evidence(time_point now) const;
  /// True if no check of the suspicion's round was answered in time.
  [[nodiscard]] bool has_round_failed(time_point now) const noexcept;
  /// True if no response has arrived since the first round began, and for long enough.
  [[nodiscard]] bool is_silent_since_round(time_point now) const noexcept;
  /// Starts another round for the suspicion if all checks of this one have failed early.
  [[nodiscard]] bool continues_rounds(time_point now);
  void begin_round(time_point now);
  /// True if connections are open and nothing suggests that they do not work.
  [[nodiscard]] bool has_usable_connections(time_point now) const;
  /// Decides after a round in which no check was answered, if it can be decided already.
  void conclude(time_point now);
  void set_state(link_condition next, time_point now);
  [[nodiscard]] std::size_t answers_to_regain() const noexcept;

  link_condition current{link_condition::up};
  std::optional<link_condition> pinned;
  time_point last_life_at;
  absl::flat_hash_map<std::uint64_t, open_calls> calls;
  // Servers that failed since the last sign of life.
  absl::flat_hash_set<std::uint64_t> failed;
  // When the first of them did.
  time_point failing_since;
  // A call on an established connection failed since the last sign of life.
  bool was_reset{false};
  // As of the last update.
  bool has_open_connections{false};
  // Servers that could not be connected to since the last connection that had a response.
  absl::flat_hash_set<std::uint64_t> unconnected;
  time_point unconnected_since;
  time_point trouble_began;
  time_point suspicion_allowed_at;
  // The servers whose checks of the current round have not ended.
  absl::flat_hash_set<std::uint64_t> round;
  std::size_t round_size{0};
  bool round_wanted{false};
  time_point round_started_at;
  // The first round of the suspicion, and the rounds that may still follow at once.
  time_point first_round_at;
  int more_rounds{0};
  time_point next_round_at;
  // When checks were answered while the links were lost.
  std::deque<time_point> answers;
  time_point regained_at;
  // Losses in quick succession.
  int flaps{0};
};

/// \brief A backend server that could be checked.
struct link_check_candidate {
  failure_domain_id domain;
  service_id service;
  /// It is in use, so that an answer is likely.
  bool in_use{true};
};

/// \brief Number of servers that are checked in one round.
inline constexpr std::size_t link_checks_per_round = 3;

/// \brief   Chooses the servers to check: in use rather than not, and of different failure domains and
/// services. \details Successive rounds begin at different candidates, so that they get to all servers in
/// turn. \return  Positions in `candidates`, at most `link_checks_per_round`.
[[nodiscard]] std::vector<std::size_t> choose_link_checks(const std::vector<link_check_candidate>& candidates,
                                                          std::size_t round);

}  // namespace zinnia
