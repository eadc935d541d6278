// Limits retries to a service to this node's share of a budget that all nodes have together.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

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

/// \brief What a node has counted in the current window, and how many retries that allows.
struct retry_usage {
  std::int64_t requests{0};
  std::int64_t retries{0};
  double allowed{0};
};

/// \brief   Counts the requests and retries of a sliding window.
///
/// \details Prevents a retry storm when all backend servers of a service fail at once. A node may retry as
/// often as its
///          own requests of the window allow, and in addition has an equal share of `extra_per_window`. So
///          the nodes together keep the budget whatever they believe of each other, and a node that carries
///          many requests may use what they earn.
class retry_limiter {
 public:
  /// \brief Counts one first attempt.
  void on_request(const retry_budget_settings& budget, time_point now) noexcept;
  /// \brief  Counts one retry if the budget allows it, and returns true if so.
  /// \param  nodes The number of nodes that share the budget, including this one. 0 if it is not known: only
  ///               retries that this node's requests earn are allowed.
  [[nodiscard]] bool try_consume(const retry_budget_settings& budget, int nodes, time_point now) noexcept;
  [[nodiscard]] retry_usage usage(const retry_budget_settings& budget, int nodes,
                                  time_point now) const noexcept;

 private:
  /// The window is counted in slices of equal length.
  static constexpr std::size_t slices_per_window = 20;

  struct slice {
    std::int64_t index{-1};
    std::uint32_t requests{0};
    std::uint32_t retries{0};
  };

  [[nodiscard]] static std::int64_t slice_index(const retry_budget_settings& budget, time_point now) noexcept;
  [[nodiscard]] slice& current_slice(std::int64_t index) noexcept;

  // One more than a window has, so that retries of a slice that is partly in the window count.
  std::array<slice, slices_per_window + 1> slices{};
};

}  // namespace zinnia
