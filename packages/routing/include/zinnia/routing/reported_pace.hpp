// How long work takes at one backend server, from the figures that it reports.
#pragma once

#include <optional>

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief   The pace that one server reports, as a factor on the usual time of work. Not thread safe.
/// \details A figure describes one moment. Its weight decays within some hundred ms, and what remains is the
///          mean of the server's own figures. Answers show whether the figures are true: a server whose
///          answers are predicted better without them is treated as one that reports none.
class reported_pace {
 public:
  /// \brief Records the figure of one load report; empty if the report has no valid one.
  void on_report(std::optional<double> work_percent, time_point now) noexcept;
  /// \brief Compares an answer that did not wait with the figures.
  /// \param ratio The time that the work took, over what it takes on a usual server.
  void on_answer(double ratio, duration took, time_point now) noexcept;

  /// \brief Returns the mean factor expected over the next `horizon`; empty while the server reports no
  ///        figures or its answers do not match them.
  [[nodiscard]] std::optional<double> factor(time_point now, duration horizon = {}) const noexcept;
  /// \brief Age of the last figure; empty if there was none.
  [[nodiscard]] std::optional<duration> age(time_point now) const noexcept;
  /// \brief False once the answers have shown that the figures are wrong.
  [[nodiscard]] bool is_trusted() const noexcept { return this->trusted; }

 private:
  [[nodiscard]] double estimate(time_point now, duration horizon) const noexcept;

  double last{1};
  double mean{1};
  int figures{0};
  int reports_without{0};
  time_point last_at;
  int answers{0};
  // Mean logarithm of the answers' ratios: what predicts the next one without the figures.
  double mean_log_ratio{0};
  double error_with{0};
  double error_without{0};
  bool trusted{true};
};

}  // namespace zinnia
