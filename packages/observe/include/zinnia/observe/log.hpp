// Structured logging: JSON objects on standard output, limited in rate. Writing never blocks.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "zinnia/observe/json_object.hpp"

namespace zinnia {

enum class log_level : unsigned char { debug, info, warn, error };

/// \brief   One log line, which is logged by the destructor.
/// \details Each line has the event's name, the level, the node, the time in ms since the Unix epoch and the
///          added fields.
///
/// \code
/// log_line{log_level::info, "request_finished"}.field("request", id.str()).field("status", 200);
/// \endcode
class log_line {
 public:
  log_line(log_level level_in, std::string_view event);
  log_line(const log_line&) = delete;
  log_line& operator=(const log_line&) = delete;
  log_line(log_line&&) = delete;
  log_line& operator=(log_line&&) = delete;
  ~log_line();

  template <class Value>
  log_line& field(std::string_view name, const Value& value) {
    if (this->enabled) {
      this->fields.field(name, value);
    }
    return *this;
  }
  /// \brief Appends the fields of an object in the text form of `json_object::str`.
  log_line& merge(std::string_view object);

 private:
  log_level level;
  // False if the level is disabled or the rate limit is reached.
  bool enabled;
  json_object fields;
};

/// \brief Sends log lines of this level and above to standard output and makes standard output non-blocking.
///        Must be called once, at the start of the process.
void start_logging(log_level min_level, const std::string& node);

/// \brief   Writes the buffered lines to standard output. Must be called several times per second.
/// \details If standard output does not accept all text, the rest stays buffered. Lines that exceed the
///          buffer are dropped and counted.
void flush_log();

/// \brief Returns the number of lines that were dropped by the rate limit or because the buffer was full.
[[nodiscard]] std::uint64_t dropped_log_lines() noexcept;

/// \brief Returns the level with this name; `info` if there is none.
[[nodiscard]] log_level parse_log_level(std::string_view name) noexcept;

}  // namespace zinnia
