// The record of a run: one line for each event, with the time since the start.
#pragma once

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

using steady = std::chrono::steady_clock;

/// \brief Returns the milliseconds since the program started.
[[nodiscard]] double now_ms();

/// \brief Collects the lines of record.txt. Thread safe.
class record {
 public:
  explicit record(const std::string& file_name) : out{file_name} {}
  void line(const std::string& text);

 private:
  std::mutex mutex;
  std::ofstream out;
};

}  // namespace review
