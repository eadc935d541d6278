// Expected work time and response size of the requests of a route, learned from earlier requests.
#pragma once

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief How likely it is that a server holds an object, as far as this node knows.
enum class warmth : unsigned char {
  /// The server recently responded to a request for the object, from this node or, by notice, from another.
  known,
  /// The server is loading the object, or, if no server is known to hold it, is the object's first home.
  presumed,
  none,
};

/// \brief   Moving averages for one route at one service.
/// \details Warm and cold times are separate, because a backend server that holds the object responds several
///          times faster.
class work_estimate {
 public:
  work_estimate() = default;
  /// \brief Starts with the assumption that a server which has to load the object just meets the route's
  /// target.
  explicit work_estimate(duration target_latency) noexcept;

  /// \brief Records the time of a request that did not have to wait for a slot.
  void record_work_time(warmth expected, double took_ms) noexcept;
  /// \brief Returns the expected time of a request.
  [[nodiscard]] double expected_ms(warmth expected) const noexcept;
  /// \brief Returns the time that a typical server takes for a request like one that took `took_ms`;
  /// `took_ms`
  ///        itself while too few requests have been recorded to tell.
  [[nodiscard]] double typical_ms(warmth expected, double took_ms) const noexcept;
  /// \brief Returns true once enough requests have been recorded for `typical_ms` to tell.
  [[nodiscard]] bool is_typical_known(warmth expected, double took_ms) const noexcept;
  void record_response_size(double kib) noexcept;

  [[nodiscard]] double warm_ms() const noexcept { return this->warm.value; }
  /// \brief Returns the time at a server that does not hold the object; never less than the warm time.
  [[nodiscard]] double cold_ms() const noexcept;
  [[nodiscard]] double response_kib() const noexcept { return this->response_size.value; }
  /// \brief Returns the response size, which follows the average only when that changes significantly,
  ///        because homes of objects depend on it.
  [[nodiscard]] double stable_response_kib() const noexcept { return this->stable_size; }

 private:
  /// The mean of the first samples, which then becomes an exponential moving average.
  struct running_mean {
    double value;
    int count{0};
    void add(double sample) noexcept;
  };

  /// True if a request that took `took_ms` belongs to the warm times.
  [[nodiscard]] bool is_warm_sample(warmth expected, double took_ms) const noexcept;
  [[nodiscard]] bool is_like_warm(double took_ms) const noexcept;

  // Initial values until requests have been recorded.
  running_mean warm{60};
  running_mean cold{200};
  // Fraction of presumed hits that were warm; initially no object has been loaded by any request.
  running_mean presumed_warm_fraction{0};
  running_mean response_size{4};
  double stable_size{4};
};

}  // namespace zinnia
