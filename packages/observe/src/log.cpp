// log4cplus with an appender that collects lines and writes them without blocking.
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

/// Text kept for a slow reader of standard output.
constexpr std::size_t buffer_limit = 512 << 10;
/// Lines of level `info` and below that may be written in one second; at full load a node serves fewer
/// requests.
constexpr int ordinary_lines_per_second = 400;
/// Lines of any level in one second.
constexpr int lines_per_second = 1500;
constexpr std::int64_t ms_per_second = 1000;

constexpr std::array<std::string_view, 4> level_words{"debug", "info", "warn", "error"};

[[nodiscard]] log4cplus::LogLevel to_log4cplus(log_level level) {
  constexpr std::array<log4cplus::LogLevel, 4> levels{log4cplus::DEBUG_LOG_LEVEL, log4cplus::INFO_LOG_LEVEL,
                                                      log4cplus::WARN_LOG_LEVEL, log4cplus::ERROR_LOG_LEVEL};
  return levels.at(static_cast<std::size_t>(level));
}

[[nodiscard]] std::string& node_name() {
  static std::string name;
  return name;
}

[[nodiscard]] std::atomic<std::uint64_t>& dropped() {
  static std::atomic<std::uint64_t> lines{0};
  return lines;
}

/// Lines waiting to be written, and the lines of the present second.
class line_buffer {
 public:
  /// Whether a line may be written now; counts it.
  [[nodiscard]] bool admit(log_level level) {
    const absl::MutexLock lock{&this->mutex};
    const auto second = unix_time_ms() / ms_per_second;
    if (second != this->current_second) {
      this->current_second = second;
      this->lines_now = 0;
    }
    const int most = level <= log_level::info ? ordinary_lines_per_second : lines_per_second;
    return this->lines_now < most && ++this->lines_now > 0;
  }

  void append(const std::string& line) {
    const absl::MutexLock lock{&this->mutex};
    if (this->waiting.size() + line.size() > buffer_limit) {
      ++dropped();
      return;
    }
    this->waiting += line;
    this->waiting += '\n';
  }

  void write_out() {
    const absl::MutexLock lock{&this->mutex};
    while (!this->waiting.empty()) {
      const auto written = write(STDOUT_FILENO, this->waiting.data(), this->waiting.size());
      if (written <= 0) {
        return;
      }
      this->waiting.erase(0, static_cast<std::size_t>(written));
    }
  }

 private:
  absl::Mutex mutex;
  std::string waiting;
  std::int64_t current_second{0};
  int lines_now{0};
};

[[nodiscard]] line_buffer& lines() {
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
    lines().append(event.getMessage());
  }
};

/// Whether a line should be written now; counts it, or counts it as dropped.
[[nodiscard]] bool is_wanted(log_level level) {
  if (!log4cplus::Logger::getRoot().isEnabledFor(to_log4cplus(level))) {
    return false;
  }
  const bool admitted = lines().admit(level);
  dropped() += admitted ? 0 : 1;
  return admitted;
}

}  // namespace
}  // namespace impl

void start_logging(log_level lowest, const std::string& node) {
  static const log4cplus::Initializer initializer;
  impl::node_name() = node;
  // A reader that stalls must not stall the process.
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(log4cplus::SharedAppenderPtr{new impl::buffering_appender});
  root.setLogLevel(impl::to_log4cplus(lowest));
}

void flush_log() {
  impl::lines().write_out();
}

std::uint64_t dropped_log_lines() noexcept {
  return impl::dropped().load();
}

log_level parse_log_level(std::string_view word) noexcept {
  const auto found = std::find(impl::level_words.begin(), impl::level_words.end(), word);
  return found == impl::level_words.end() ? log_level::info
                                          : static_cast<log_level>(found - impl::level_words.begin());
}

log_line::log_line(log_level severity, std::string_view event)
    : level{severity}, wanted{impl::is_wanted(severity)} {
  this->field("time_ms", unix_time_ms())
      .field("level", impl::level_words.at(static_cast<std::size_t>(severity)))
      .field("event", event)
      .field("node", impl::node_name());
}

log_line::~log_line() {
  if (this->wanted) {
    log4cplus::Logger::getRoot().log(impl::to_log4cplus(this->level), this->line.str());
  }
}

log_line& log_line::merge(std::string_view object) {
  if (this->wanted) {
    this->line.merge(object);
  }
  return *this;
}

}  // namespace zinnia
