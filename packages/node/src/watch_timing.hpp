// Wait times of the store's watches.
#pragma once
#include <algorithm>
#include <cstdint>
#include <string>

#include "zinnia/accounts/configuration_confirmation.hpp"
#include "zinnia/core/rendezvous.hpp"
#include "zinnia/node/node_settings.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {
namespace impl {

/// The wait time of a watch call, as a share of the store's history. Each call has a price, so long calls are
/// cheaper, but a call that outlasts the history has to be followed by a full list.
inline constexpr std::int64_t watch_history_percent = 70;
inline constexpr std::int64_t percent = 100;
/// The configuration watch also detects an unresponsive store. Its wait time leaves this much of the recovery
/// limit for the allowance of the call and for reconnecting.
inline constexpr duration store_check_margin{1600};
/// Also the time that the delivery of a change may take.
inline constexpr duration min_configuration_watch_time{1800};
/// Upper limit on the pause between calls to a failing store. Together with the time to connect it is well
/// below any recovery limit.
inline constexpr duration max_store_pause{700};

[[nodiscard]] inline duration history_watch_time(const node_settings& settings) {
  return {settings.store_history.ms * watch_history_percent / percent};
}

[[nodiscard]] inline duration configuration_watch_time(const node_settings& settings) {
  const auto wait = std::max(settings.recovery_limit - store_check_margin, min_configuration_watch_time);
  return settings.revocation_limit ? std::min(wait, confirmation_watch_time(*settings.revocation_limit))
                                   : wait;
}

/// Creates a feed whose seed spreads the pauses of different nodes and kinds.
[[nodiscard]] inline object_feed make_feed(const char* kind, duration wait, duration batch_delay,
                                           const node_id& self) {
  feed_timing timing;
  timing.watch_timeout = wait;
  timing.batch_delay = batch_delay;
  timing.max_backoff = max_store_pause;
  return {timing, stable_hash(self.str() + kind)};
}

}  // namespace impl
}  // namespace zinnia
