// Structured log lines: JSON objects on standard output, bounded in volume and never blocking.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "zinnia/observe/json_object.hpp"

namespace zinnia {

enum class log_level : unsigned char { debug, info, warn, error };

/// \brief   One log line, handed over when it goes out of scope.
///
/// \details Each line has the event's name, the node, the time in ms since the Unix epoch and the fields
/// given.
///
/// \code
/// log_line{log_level::info, "request_finished"}.field("request", id.str()).field("status", 200);
/// \endcode
class log_line {
 public:
  log_line(log_level severity, std::string_view event);
  log_line(const log_line&) = delete;
  log_line& operator=(const log_line&) = delete;
  log_line(log_line&&) = delete;
  log_line& operator=(log_line&&) = delete;
  ~log_line();

  template <class Value>
  log_line& field(std::string_view name, const Value& value) {
    if (this->wanted) {
      this->line.field(name, value);
    }
    return *this;
  }
  /// \brief Appends the fields of a finished object.
  log_line& merge(std::string_view object);

 private:
  log_level level;
  // False when lines of this level are not wanted, or too many have been written lately.
  bool wanted;
  json_object line;
};

/// \brief Sends log lines of at least this level to standard output; to be called once, by `main`.
void start_logging(log_level lowest, const std::string& node);

/// \brief   Writes out what has collected since the last call; to be called a few times a second.
/// \details What the reader of standard output does not take is kept up to a limit, then dropped and counted.
void flush_log();

/// \brief Lines that were not written, as they were too many or nobody read them.
[[nodiscard]] std::uint64_t dropped_log_lines() noexcept;

/// \brief The level that a word names; `info` for any other word.
[[nodiscard]] log_level parse_log_level(std::string_view word) noexcept;

}  // namespace zinnia
