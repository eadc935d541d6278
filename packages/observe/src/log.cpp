// Logging with log4cplus and an appender that buffers lines for non-blocking writes.
#include "zinnia/observe/log.hpp"

#include <absl/synchronization/mutex.h>
#include <fcntl.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>

#include "zinnia/core/clock.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Maximum size of the text that is buffered while standard output accepts no more.
constexpr std::size_t max_buffered_bytes = 512 << 10;
/// Once a second has this many lines, lines at levels `info` and below are dropped. At full load a node
/// serves fewer requests per second.
constexpr int max_info_lines_per_second = 400;
/// Once a second has this many lines, lines of all levels are dropped.
constexpr int max_lines_per_second = 1500;
constexpr std::int64_t ms_per_second = 1000;

constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warn", "error"};

[[nodiscard]] log4cplus::LogLevel to_log4cplus(log_level level) {
  constexpr std::array<log4cplus::LogLevel, 4> levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
                                                      log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
  return levels.at(static_cast<std::size_t>(level));
}

[[nodiscard]] std::string& node_name() {
  static std::string name;
  return name;
}

[[nodiscard]] std::atomic<std::uint64_t>& dropped_line_count() {
  static std::atomic<std::uint64_t> count{0};
  return count;
}

/// Buffers lines until they are written and limits the number of lines per second. Thread-safe.
class line_buffer {
 public:
  /// Returns true, and counts the line, if the limit of its level allows one more line in this second.
  [[nodiscard]] bool admit(log_level level) {
    const absl::MutexLock lock{&this->mutex};
    const auto second = unix_time_ms() / ms_per_second;
    if (second != this->current_second) {
      this->current_second = second;
      this->lines_this_second = 0;
    }
    const int max_lines = level <= log_level::info ? max_info_lines_per_second : max_lines_per_second;
    return this->lines_this_second < max_lines && ++this->lines_this_second > 0;
  }

  void append(const std::string& line) {
    const absl::MutexLock lock{&this->mutex};
    if (this->pending.size() + line.size() > max_buffered_bytes) {
      ++dropped_line_count();
      return;
    }
    this->pending += line;
    this->pending += '\n';
  }

  void write_out() {
    const absl::MutexLock lock{&this->mutex};
    while (!this->pending.empty()) {
      const auto written = write(STDOUT_FILENO, this->pending.data(), this->pending.size());
      if (written <= 0) {
        return;
      }
      this->pending.erase(0, static_cast<std::size_t>(written));
    }
  }

 private:
  absl::Mutex mutex;
  std::string pending;
  std::int64_t current_second{0};
  int lines_this_second{0};
};

[[nodiscard]] line_buffer& shared_line_buffer() {
  static line_buffer buffer;
  return buffer;
}

class buffering_appender final : public log4cplus::Appender {
 public:
  buffering_appender() = default;
  buffering_appender(const buffering_appender&) = delete;
  buffering_appender& operator=(const buffering_appender&) = delete;
  buffering_appender(buffering_appender&&) = delete;
  buffering_appender& operator=(buffering_appender&&) = delete;
  ~buffering_appender() override { this->destructorImpl(); }
  void close() override { this->closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    shared_line_buffer().append(event.getMessage());
  }
};

/// Returns true if the level is enabled and the rate limit allows a line. Lines over the
/// limit are counted as dropped.
[[nodiscard]] bool admit_line(log_level level) {
  if (!log4cplus::Logger::getRoot().isEnabledFor(to_log4cplus(level))) {
    return false;
  }
  const bool admitted = shared_line_buffer().admit(level);
  dropped_line_count() += admitted ? 0 : 1;
  return admitted;
}

}  // namespace
}  // namespace impl

void start_logging(log_level min_level, const std::string& node) {
  static const log4cplus::Initializer initializer;
  impl::node_name() = node;
  // A slow reader of standard output must not block the process.
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(log4cplus::SharedAppenderPtr{new impl::buffering_appender});
  root.setLogLevel(impl::to_log4cplus(min_level));
}

void flush_log() {
  impl::shared_line_buffer().write_out();
}

std::uint64_t dropped_log_lines() noexcept {
  return impl::dropped_line_count().load();
}

log_level parse_log_level(std::string_view name) noexcept {
  const auto found = std::find(impl::level_names.begin(), impl::level_names.end(), name);
  return found == impl::level_names.end() ? log_level::info
                                          : static_cast<log_level>(found - impl::level_names.begin());
}

log_line::log_line(log_level level_in, std::string_view event)
    : level{level_in}, enabled{impl::admit_line(level_in)} {
  this->field("time_ms", unix_time_ms())
      .field("level", impl::level_names.at(static_cast<std::size_t>(level_in)))
      .field("event", event)
      .field("node", impl::node_name());
}

log_line::~log_line() {
  if (this->enabled) {
    log4cplus::Logger::getRoot().log(impl::to_log4cplus(this->level), this->fields.str());
  }
}

log_line& log_line::merge(std::string_view object) {
  if (this->enabled) {
    this->fields.merge(object);
  }
  return *this;
}

}  // namespace zinnia
