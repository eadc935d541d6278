// Asks other nodes for state that the store may lack since it was restored from a copy.
#pragma once

#include <cstdint>
#include <functional>

#include "zinnia/membership/member_table.hpp"
#include "zinnia/membership/peer_state_sync.hpp"
#include "zinnia/store/async_http_client.hpp"
#include "zinnia/store/retained_state.hpp"

namespace zinnia {

/// \brief The HTTP path at which a node tells its state: `?configuration=N`, the number that the other one
/// has.
inline constexpr const char* peer_state_path = "/v1/state";

/// \brief   Makes the calls that `peer_state_sync` asks for. Not thread-safe.
class peer_state_exchange {
 public:
  struct event_handlers {
    /// Returns the number of the configuration in force.
    std::function<std::uint64_t()> configuration_number;
    /// Applies another node's state.
    std::function<state_reply(const node_id& from, const retained_state& state)> on_state;
  };

  peer_state_exchange(async_http_client& calls_in, const clock_source& clock_in,
                      const member_table& members_in, event_handlers handlers_in)
      : calls{calls_in}, clock{clock_in}, members{members_in}, handlers{std::move(handlers_in)} {}

  /// \brief Begins the limit on the time of a node's start, unless it has begun.
  void expect(time_point now) noexcept { this->sync.expect(now); }
  /// \brief Begins the questions of a node's start, unless they have begun.
  void begin(time_point now);
  /// \brief Asks other nodes again, as this node has noticed that the store was restored.
  void ask_again(time_point now);
  /// \brief Returns true once this node need not wait for others before it is ready.
  [[nodiscard]] bool is_done(time_point now) const noexcept { return this->sync.is_done(now); }
  void on_heartbeat(const node_heartbeat& heartbeat, const state_summary& own, time_point now);
  /// \brief Starts the calls that are due.
  void issue_calls(time_point now);
  [[nodiscard]] time_point next_action_at(time_point now) const noexcept {
    return this->sync.next_action_at(now);
  }

 private:
  [[nodiscard]] state_reply decode(const node_id& from, const http_response& response) const;

  async_http_client& calls;
  const clock_source& clock;
  const member_table& members;
  event_handlers handlers;
  peer_state_sync sync;
};

}  // namespace zinnia
