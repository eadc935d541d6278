// Finds the requests that crash each backend server that runs them.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/routing/crash_judgement.hpp"
#include "zinnia/routing/crash_report.hpp"

namespace zinnia {

/// \brief A request whose connection ended without a response.
struct lost_request {
  request_fingerprint request;
  /// The request's level when it was sent.
  int level{0};
  time_point sent_at;
};

/// \brief   The requests that are suspected of crashing backend servers, and those that are quarantined for
///          it. Not thread safe.
///
/// \details A request's level counts crashes in succession: each crash counts only for a request that was
///          sent when the crash before was known. So servers that crash at the same moment, as when a failure
///          domain loses power, raise the requests that they had by one level, however many they were. Of the
///          requests that a crashed server had, only those that have been at the most crashes are raised; the
///          others are bystanders. A request at level two that has been at three crashed servers, the first
///          of them long ago, is raised to the third level as well: crashes that come before the first one is
///          known would otherwise let it crash several servers for each level. A request that any server
///          answers after the first of its crashes is not suspected any more. At `quarantine_level` a request
///          is quarantined: it is refused for a term after its last crash. For another term, one more crash
///          quarantines it again; then it is forgotten.
///
///          Nodes exchange reports. Merging takes the higher level, so that reports may be lost, repeated or
///          come in any order; a node that knows of an answer objects. Reports are repeated to a few nodes at
///          a time while they matter, which tells them to nodes that have restarted.
///
///          Invariant: at most `max_requests` requests are remembered. The least suspected and then the
///          oldest make room. Only the crash of a server adds one, never a caller alone.
class crash_ledger {
 public:
  static constexpr int quarantine_level = 3;
  static constexpr std::size_t max_requests = 1024;

  /// \param term The longest term of any service. 0: nothing is remembered.
  void set_longest_term(duration term) noexcept { this->longest_term = term; }

  /// \name Requests
  /// \{
  /// \param term How long a quarantine lasts for the request's service.
  [[nodiscard]] int level(request_fingerprint request, duration term, time_point now) const noexcept;
  /// \brief Returns for how long the request is still quarantined, or 0.
  [[nodiscard]] duration quarantine_left(request_fingerprint request, duration term,
                                         time_point now) const noexcept;
  /// \brief Records that a request's connection to a backend server ended without a response. The request is
  ///        suspected if the server turns out to have crashed within a few seconds.
  void on_lost(std::uint64_t backend, const lost_request& lost, time_point now);
  /// \brief Records that a request was given up although no part of a response had arrived. The request is
  ///        suspected if the server turns out to have crashed and has shown no sign of life before.
  void on_given_up(std::uint64_t backend, const lost_request& lost, time_point now);
  /// \brief Records that a backend server answered a request.
  void on_answered(request_fingerprint request, time_point now);
  /// \}

  /// \name Backend servers
  /// \{
  /// \brief Returns true if the server has lost requests and it is not known yet if it has crashed.
  [[nodiscard]] bool awaits_confirmation(std::uint64_t backend, time_point now) const noexcept;
  /// \brief Returns true if requests were lost at the server or given up, so that its crash would count.
  [[nodiscard]] bool has_lost_requests(std::uint64_t backend, time_point now) const noexcept {
    return this->given_up.contains(backend) || this->awaits_confirmation(backend, now);
  }
  /// \brief Returns the number of servers that await confirmation.
  [[nodiscard]] std::size_t unconfirmed_count(time_point now) const noexcept;
  /// \brief Records that no process listens at the server's address.
  void on_crashed(std::uint64_t backend, time_point now);
  /// \brief Records that the server still runs; the requests that it lost are not suspected.
  void on_alive(std::uint64_t backend) {
    this->unconfirmed.erase(backend);
    this->held.erase(backend);
    this->given_up.erase(backend);
  }
  /// \brief Records that a response of the server has begun: it ran when requests were given up before.
  void on_response(std::uint64_t backend) { this->given_up.erase(backend); }
  /// \brief Sets the lost requests of all servers aside: this node cannot tell now if its links failed or the
  ///        servers.
  void on_links_lost(time_point now);
  /// \brief Records that a connection ended without a response while the links were not up.
  void hold(std::uint64_t backend, const lost_request& lost, time_point now);
  /// \brief   Takes up the requests that were set aside.
  /// \return  The servers to check now. The requests of those that still refuse connections are suspected.
  [[nodiscard]] std::vector<std::uint64_t> on_links_regained(time_point now);
  /// \}

  /// \name Other nodes
  /// \{
  void apply(const crash_report& report, time_point now);
  /// \brief Returns and clears what all other nodes should know now.
  [[nodiscard]] std::vector<crash_report> take_reports() { return std::exchange(this->outgoing, {}); }
  /// \brief Returns at most `max_count` reports to be repeated to some other nodes; none if the last ones
  /// were
  ///        returned less than a second ago.
  [[nodiscard]] std::vector<crash_report> reports_to_repeat(std::size_t max_count, time_point now);
  /// \}

  /// \brief Returns and clears the requests that have been quarantined since the last call, and those
  ///        that are not any more (level 0) because of an answer or a better explanation.
  [[nodiscard]] std::vector<crash_report> take_quarantine_changes() {
    return std::exchange(this->quarantine_changes, {});
  }
  /// \brief Returns and clears what has been made of crashes since the last call, of requests that have been
  /// at
  ///        several; for the log.
  [[nodiscard]] std::vector<judged_crash> take_judgements() { return std::exchange(this->judgements, {}); }
  /// \brief Returns what a store that has lost the last changes should hold again: the requests that are
  ///        quarantined, and those that have been until an answer or a better explanation (level 0).
  [[nodiscard]] std::vector<crash_report> quarantine_states(time_point now) const;
  /// \brief Returns the number of requests that are remembered with this level or a higher one.
  [[nodiscard]] std::size_t count_from_level(int min_level, time_point now) const noexcept;

 private:
  /// The crashed servers of a request that are remembered, so that each counts once.
  static constexpr std::size_t remembered_backends = 8;
  static constexpr std::size_t answer_slots = 4096;
  static constexpr std::size_t max_judgements = 64;
  /// Times in reports seem later by their delay: the longest one-way delay, and the time that reports wait to
  /// be sent and read.
  static constexpr duration report_delay{300};

  struct record {
    // 0 if the request was answered, or only at crashes that others explain.
    int level{0};
    // The request was answered at `at`. Only with level 0.
    bool answered{false};
    // The server whose crash led to the level.
    std::uint64_t backend{0};
    // Of the last crash, or of the answer.
    time_point at;
    // Of the first crash.
    time_point first_at;
    // The number of servers that crashed while they had the request, and the last of them.
    int crashes{0};
    std::array<std::uint64_t, remembered_backends> backends{};
    // The request was quarantined, and was released since.
    bool released{false};
  };
  struct crash {
    time_point at;
    // The most crashes of any request that the server had.
    int most_crashes{0};
  };
  struct answer {
    request_fingerprint request;
    time_point at;
  };
  struct kept_request {
    lost_request lost;
    time_point until;
  };
  /// By server.
  using kept_requests = absl::flat_hash_map<std::uint64_t, std::vector<kept_request>>;

  /// Adds a request, and drops those that have been kept for long enough.
  static void keep(kept_requests& kept, std::uint64_t backend, const kept_request& added, time_point now);
  [[nodiscard]] static int level_of(const record& known, duration term, time_point now) noexcept;
  /// Counts the crash of a server for a request that it had.
  static void count_crash(record& known, const crash_report& crashed);
  /// Counts a crash for a request and raises its level, unless it has been answered since its first crash or
  /// another request explains this crash better. Returns true if other nodes should know.
  bool raise(const crash_report& crashed, time_point now);
  /// The same without the record for the log.
  [[nodiscard]] crash_judgement judge(const crash_report& crashed, time_point now);
  /// Records a crash that this node has seen.
  void record_own_crash(const lost_request& lost, std::uint64_t backend, time_point crashed_at,
                        time_point now);
  /// Returns true if the request has been answered since that time, as far as this node knows.
  [[nodiscard]] bool was_answered_since(request_fingerprint request, time_point since) const noexcept;
  /// Records an answer. Returns true if the request was suspected.
  bool clear(request_fingerprint request, time_point answered_at);
  /// Tells other nodes that a request that they suspect has been answered.
  void object(request_fingerprint request, time_point now);
  /// Returns the crash of a server, new if none is known since `crashed_at`; null if there are too many.
  [[nodiscard]] crash* find_or_add_crash(std::uint64_t backend, time_point crashed_at, time_point now);
  /// Lowers the requests that the crash raised and that have been at fewer crashes than `most_crashes`.
  void lower_bystanders(std::uint64_t backend, int most_crashes);
  [[nodiscard]] record& find_or_add(request_fingerprint request, time_point now);
  [[nodiscard]] static crash_report make_report(request_fingerprint request, const record& known,
                                                time_point now) noexcept;
  void report_to_others(request_fingerprint request, time_point now);
  [[nodiscard]] bool may_forward(int level_reported, time_point now);

  duration longest_term{0};
  absl::flat_hash_map<std::uint64_t, record> records;
  // Requests lost by servers that may have crashed, by server, with the times at which that was noticed.
  absl::flat_hash_map<std::uint64_t, std::vector<std::pair<lost_request, time_point>>> unconfirmed;
  // Requests lost by servers while this node's links may have failed.
  kept_requests held;
  // Requests given up at servers that have been silent since.
  kept_requests given_up;
  // Recent crashes by server.
  absl::flat_hash_map<std::uint64_t, crash> crashes;
  // The latest answers, each at the position that its fingerprint determines. A node often learns of a crash
  // only after the answer that clears the request.
  std::vector<answer> answers = std::vector<answer>(answer_slots);
  std::vector<crash_report> outgoing;
  std::vector<crash_report> quarantine_changes;
  // Invariant: at most `max_judgements`.
  std::vector<judged_crash> judgements;
  time_point next_repetition_at;
  // The request that was repeated last.
  std::uint64_t repeated_last{0};
  // The second in which reports of level 1 were last forwarded, and how many.
  time_point forwarding_since;
  int forwarded_in_second{0};
};

}  // namespace zinnia
