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

/// \brief What a node has counted in the current window, and how many retries it may make now.
struct retry_usage {
  std::int64_t requests{0};
  std::int64_t retries{0};
  double available{0};
};

/// \brief   Pays for retries with tokens: those that this node's requests earn, and those that it gets as its
///          share of `extra_per_window`.
///
/// \details Prevents a retry storm when all backend servers of a service fail at once.
///          Invariant: all nodes together keep the budget in each window, also if processes end and start
///          and callers move between nodes, so that nobody knows what was retried before. The tokens at hand
///          when a window begins are bounded by the requests of the window before it; all others are
///          earned within it. The fractions of `ratio` for both add up to less than 1. A process starts with
///          no tokens.
class retry_limiter {
 public:
  retry_limiter() = default;
  /// \param started_at_in When the process started.
  explicit retry_limiter(time_point started_at_in) noexcept : refilled_at{started_at_in} {}

  /// \brief Counts one first attempt.
  void on_request(const retry_budget_settings& budget, time_point now) noexcept;
  /// \brief  Takes a token for one retry, and returns true if there is one.
  /// \param  nodes The number of nodes that share the budget, including this one. 0 if it is not known: only
  ///               tokens that this node's requests earn are used.
  [[nodiscard]] bool try_consume(const retry_budget_settings& budget, int nodes, time_point now) noexcept;
  /// \param nodes As for `try_consume`.
  [[nodiscard]] retry_usage usage(const retry_budget_settings& budget, int nodes,
                                  time_point now) const noexcept;

 private:
  /// The window is counted in slices of equal length.
  static constexpr std::size_t slices_per_window = 40;

  struct slice {
    std::int64_t index{-1};
    std::uint32_t requests{0};
    std::uint32_t retries{0};
  };

  [[nodiscard]] static std::int64_t slice_index(const retry_budget_settings& budget, time_point now) noexcept;
  [[nodiscard]] slice& current_slice(std::int64_t index) noexcept;
  /// Returns the requests and retries of the slices that are entirely in the window.
  [[nodiscard]] slice count_window(const retry_budget_settings& budget, time_point now) const noexcept;
  [[nodiscard]] double earned_now(const retry_budget_settings& budget, time_point now) const noexcept;
  [[nodiscard]] double shared_now(const retry_budget_settings& budget, double share,
                                  time_point now) const noexcept;

  std::array<slice, slices_per_window> slices{};
  // Tokens that requests have earned. Bounded by the requests of the current window when used.
  double earned{0};
  // Tokens of this node's share of `extra_per_window` at `refilled_at`.
  double shared{0};
  time_point refilled_at;
  // This node's share at that time; 0 if it was never known.
  double latest_share{0};
};

}  // namespace zinnia
