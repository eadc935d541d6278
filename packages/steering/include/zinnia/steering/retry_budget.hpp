// Retries as a fraction of first attempts, so that a failing place is not buried under repeats.
#pragma once

#include <cstdint>

namespace zinnia {

/// \brief   A token bucket filled by first attempts.
/// \details Not thread safe. Counts in hundredths of a retry.
class retry_budget {
 public:
  /// \brief Notes a first attempt; `percent` of it becomes budget.
  void on_first_attempt(std::int64_t percent) noexcept;
  /// \brief Takes one retry if the budget has one.
  [[nodiscard]] bool try_spend() noexcept;

 private:
  std::int64_t hundredths{initial_hundredths};

  static constexpr std::int64_t one_retry = 100;
  /// A start-up with few requests may still retry.
  static constexpr std::int64_t initial_hundredths = 10 * one_retry;
  static constexpr std::int64_t most_hundredths = 100 * one_retry;
};

}  // namespace zinnia
