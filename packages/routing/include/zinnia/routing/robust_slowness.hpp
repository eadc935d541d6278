// Slowness of a server, learned from answers of which a few take much longer than the others.
#pragma once

namespace zinnia {

/// \brief   A moving average of logarithms with bounded samples. Not thread safe.
/// \details One answer far from the average moves it little, because its work may have been long. Several in
/// a
///          row on the same side move it fully: the bound and the weight grow with each of them.
class robust_slowness {
 public:
  /// \brief Returns the average after a sample.
  /// \param average The average before it, greater than 0; it may have decayed since the last sample.
  /// \param sample Actual over expected time, greater than 0.
  [[nodiscard]] double next(double average, double sample) noexcept;

 private:
  // Consecutive samples beyond the initial bound; negative if they are below it.
  int outliers{0};
};

}  // namespace zinnia
