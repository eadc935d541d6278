// Limits retries to a service to this node's share of a budget that all nodes have together.
#pragma once

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief The retry budget of all nodes together.
struct retry_budget_settings {
  /// Retries allowed per request.
  double ratio{0.2};
  /// Retries allowed in each window in addition to those that `ratio` allows.
  double extra_per_window{50};
  duration window{10'000};
};

/// \brief   Token bucket that requests and elapsed time refill.
///
/// \details Prevents a retry storm when all backend servers of a service fail at once. In any window the node
///          sends at most its share of retries: the capacity of the bucket plus the refill during the window.
class retry_token_bucket {
 public:
  /// \brief Adds the tokens for one first attempt.
  void on_request(const retry_budget_settings& budget) noexcept;
  /// \brief  Consumes one token if available and returns true if so.
  /// \param  nodes The number of nodes that share the budget, including this one.
  [[nodiscard]] bool try_consume(const retry_budget_settings& budget, int nodes, time_point now) noexcept;

 private:
  void refill(const retry_budget_settings& budget, int nodes, time_point now) noexcept;

  double tokens{0};
  bool is_initialized{false};
  time_point refilled_at;
};

}  // namespace zinnia
