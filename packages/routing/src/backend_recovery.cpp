// When the recovery of a backend server begins, and what it learns from answers.
#include <algorithm>

#include "zinnia/routing/backend_state.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Time between the first requests of two nodes on average. A request takes longer, so that the later nodes
/// see the load of the earlier ones.
constexpr std::int64_t start_interval_ms = 50;
/// Callers get little from a server that is left idle for longer than this.
constexpr std::int64_t max_start_delay_ms = 3000;

}  // namespace
}  // namespace impl

duration backend_state::recovery_spread_for(const node_standing& standing) noexcept {
  if (standing.rank == 0) {
    return {0};
  }
  const auto nodes = static_cast<std::int64_t>(standing.near_count);
  return {std::min(nodes * impl::start_interval_ms, impl::max_start_delay_ms)};
}

void backend_state::set_paces_recovery(bool enabled) noexcept {
  this->paces_recovery = enabled;
  if (!enabled) {
    this->recovery_limit.end();
  }
}

void backend_state::begin_recovery(time_point now) noexcept {
  if (!this->paces_recovery) {
    return;
  }
  const auto delay = this->recovery_spread.ms == 0
                         ? std::uint64_t{0}
                         : this->node_phase % static_cast<std::uint64_t>(this->recovery_spread.ms);
  this->recovery_limit.begin(now, duration{static_cast<std::int64_t>(delay)});
}

std::optional<duration> backend_state::on_recovery_answer(double slowness, duration took,
                                                          time_point now) noexcept {
  const auto began = this->recovery_limit.began_at();
  return this->recovery_limit.on_answer(slowness, this->declaration.slots, took, now)
             ? std::optional{now - began}
             : std::nullopt;
}

}  // namespace zinnia
