// The part of a backend server's rate limit that one node may use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief Where a node stands among the nodes that send requests to a backend server, nearest first.
struct node_standing {
  /// The number of serving nodes that are nearer to the server; all of them for a node that does not serve.
  std::size_t rank{0};
  /// Serving nodes that may be given a large share of a limit, at most `serving_count`.
  std::size_t near_count{0};
  std::size_t serving_count{1};
  /// Differs from node to node; spreads over time what many nodes with small shares send.
  std::uint64_t phase{0};
};

/// \brief Returns true if the node is one of the nearest, which divide most of a limit.
[[nodiscard]] bool has_large_share(double limit_per_second, const node_standing& standing) noexcept;

/// \brief   Returns how many requests per second of a limit for all nodes together one node may send.
/// \details The nearest nodes divide most of the limit evenly; as many of them as leaves each a useful rate.
///          The other nodes divide the rest, so that they notice when the limit ends. Nodes that agree on the
///          standing of all keep to the limit without messages between them.
[[nodiscard]] double share_of_rate(double limit_per_second, const node_standing& standing) noexcept;

/// \brief   Admits requests to one backend server while the server names a limit. Not thread safe.
/// \details A token bucket that starts empty: nodes hear of a limit at about the same time, and one request
///          from each of many nodes at once would exceed it. For the same reason a node with a small share
///          may send only in a short window of each period in which it earns a token.
class rate_limit_share {
 public:
  /// \brief Records a response that names a limit.
  void on_limit(double limit_per_second, time_point now) noexcept;
  /// \brief Records a response that names no limit. Ends the limit unless one was named a moment ago:
  ///        responses on different connections can overtake each other.
  void on_no_limit(time_point now) noexcept;
  /// \brief Forgets the limit, for a server that starts again.
  void reset() noexcept { this->limit_per_second.reset(); }
  void set_standing(const node_standing& standing_in, time_point now) noexcept;

  /// \brief Returns the limit of all nodes together in requests per second; empty while there is none.
  [[nodiscard]] std::optional<double> limit() const noexcept { return this->limit_per_second; }
  /// \brief Returns this node's part of the limit, in requests per second.
  [[nodiscard]] double rate() const noexcept;
  /// \brief Returns when the next request may be sent: `now` or earlier if one may be sent now.
  [[nodiscard]] time_point next_send_at(time_point now) const noexcept;
  [[nodiscard]] bool permits(time_point now) const noexcept { return this->next_send_at(now) <= now; }
  void on_sent(time_point now) noexcept;

 private:
  /// Adds the tokens earned since the last call.
  void refill(time_point now) noexcept;
  [[nodiscard]] double tokens_at(time_point now) const noexcept;
  /// Returns `at`, or the begin of this node's next window if `at` is in none.
  [[nodiscard]] time_point next_in_window(time_point at) const noexcept;

  std::optional<double> limit_per_second;
  time_point last_named_at;
  node_standing standing;
  // Meaningless while there is no limit.
  double tokens{0};
  time_point refilled_at;
};

}  // namespace zinnia
