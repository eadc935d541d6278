// Decides which other nodes to ask for state that the store may lack: at the start of this node, and when a
// heartbeat shows that another node holds more.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief What a node says in its heartbeats about state that the store may lack.
struct state_summary {
  /// Number of the configuration in force.
  std::uint64_t configuration{0};
  /// Differs for different sets of retained changes; 0 if there are none.
  std::uint64_t retained_digest{0};

  friend bool operator==(const state_summary&, const state_summary&) = default;
};

/// \brief The outcome of asking another node for its state.
enum class state_reply : unsigned char {
  applied,
  /// The other node has not noticed yet that the store was restored, so that it can't tell what was lost.
  too_early,
  /// No response, or the other node isn't ready itself.
  unavailable,
};

/// \brief   Chooses the nodes to ask. No I/O; not thread-safe.
/// \details A store that was restored from a copy may lack changes that running nodes have applied. A node
/// that starts
///          can't see that, so it asks before it is ready: several nodes at a time, until one has told its
///          state. If no node tells within a limit, the store is all there is. Later on it asks a node whose
///          heartbeats name a newer configuration for longer than the store takes to deliver it, or retained
///          changes that it has not been told of yet.
class peer_state_sync {
 public:
  /// \brief Begins the limit on the time of a start, once all is known that this node needs from the store.
  void expect(time_point now) noexcept;
  /// \brief Begins to ask, once the other nodes are known.
  /// \param candidates The other registered nodes, in the order in which they are asked.
  void begin(std::vector<node_id> candidates, time_point now);
  /// \brief Asks nodes again, without waiting for them: this node has noticed that the store was restored.
  void ask_again(std::vector<node_id> candidates, time_point now);
  [[nodiscard]] bool has_begun() const noexcept { return this->begun; }
  /// \brief Returns true once this node may rely on what it knows. Changes by time, too.
  [[nodiscard]] bool is_done(time_point now) const noexcept;
  /// \brief Compares another node's summary with that of this node.
  void on_heartbeat(const node_id& from, const state_summary& theirs, const state_summary& own,
                    time_point now);
  /// \brief Returns the nodes to ask now; they count as asked.
  [[nodiscard]] std::vector<node_id> take_due(time_point now);
  /// \brief Returns when `take_due` or `is_done` may change without a further call; `far_future` if never.
  [[nodiscard]] time_point next_action_at(time_point now) const noexcept;
  void on_reply(const node_id& from, state_reply reply, time_point now);

 private:
  void end_start() noexcept;
  [[nodiscard]] bool is_asking(time_point now) const noexcept {
    return !this->is_done(now) || now < this->ask_again_until;
  }
  [[nodiscard]] time_point start_limit() const noexcept;

  bool begun{false};
  bool done{false};
  // Some asked node has not noticed yet that the store was restored.
  bool waits_for_peers{false};
  // When `expect` was first called.
  std::optional<time_point> expected_at;
  // Until when nodes are asked again after a restore.
  time_point ask_again_until;
  // Nodes that are still to be asked at the start or after a restore, and when.
  std::deque<std::pair<node_id, time_point>> waiting;
  // Nodes whose replies are outstanding, with the digest that they were asked for.
  std::map<node_id, std::uint64_t> asked;
  // The node to ask after the start.
  std::optional<node_id> ahead;
  std::uint64_t ahead_digest{0};
  time_point next_ask_at;
  // The newest configuration of any node, and since when it has been newer than this node's; far_future if it
  // isn't.
  std::uint64_t newest_configuration{0};
  time_point behind_since{far_future};
  // The latest digests of which another node has told this one. Bounded.
  std::deque<std::uint64_t> known_digests;
};

}  // namespace zinnia
