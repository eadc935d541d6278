// How many repeats this node may send to a service, as its share of a budget that all nodes have together.
#pragma once

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief The budget of all nodes together.
struct retry_budget_settings {
  /// Repeats allowed for each request.
  double ratio{0.2};
  /// Repeats allowed besides in each window.
  double extra_per_window{50};
  duration window{10'000};
};

/// \brief   A bucket filled by requests and by time.
///
/// \details Load answered: repeats after failures that hit all backend servers of a service at once. In any
///          window the node spends at most its share: what the bucket holds at most, and what flows in.
class retry_token_bucket {
 public:
  /// \brief Notes a first attempt.
  void on_request(const retry_budget_settings& budget) noexcept;
  /// \brief  Takes one repeat if there is one.
  /// \param  nodes Nodes among which the budget is divided, this one included.
  [[nodiscard]] bool try_consume(const retry_budget_settings& budget, int nodes, time_point now) noexcept;

 private:
  void refill(const retry_budget_settings& budget, int nodes, time_point now) noexcept;

  double tokens{0};
  bool started{false};
  time_point refilled_at;
};

}  // namespace zinnia
