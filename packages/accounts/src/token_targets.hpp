// How many tokens a node keeps or fetches for its own requests.
#pragma once

#include <algorithm>
#include <cmath>

namespace zinnia::impl {

/// Tokens are asked for this far ahead: longer than a round trip between regions (110 ms), and short enough
/// that few tokens lie unused where demand has ended.
inline constexpr double ask_ahead_s = 0.3;
/// Smaller amounts are not worth a message.
inline constexpr double min_ask = 0.1;

/// \brief Returns the tokens that requests at this rate use before more can be fetched, with one standard
///        deviation of their number: with the mean alone, a node with few requests often runs out.
[[nodiscard]] inline double target_for(double demand) noexcept {
  const double mean = demand * ask_ahead_s;
  return mean + std::min(std::sqrt(mean), mean / ask_ahead_s);
}

}  // namespace zinnia::impl
