// Parses the header fields in which a backend server states its load and its limits.
#include "statement_decoding.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <string>
#include <vector>

#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Bounds of a stated rate limit, in requests per second. No server handles more than the largest.
constexpr double min_rate_limit = 0;
constexpr double max_rate_limit = 1'000'000;
/// Bounds of a stated work figure.
constexpr double min_work_percent = 1;
constexpr double max_work_percent = 10'000;

constexpr int status_unavailable = 503;
constexpr std::string_view retry_after_field = "Retry-After";
/// Bounds of the time for which a busy server may refuse requests in advance, in seconds. A longer time is
/// cut to the largest: the server can say so again.
constexpr double min_busy_s = 0;
constexpr double max_busy_s = 60;
/// Largest time that is read at all, in seconds.
constexpr double max_readable_busy_s = 1e9;
constexpr double ms_per_second = 1000;

/// The only value with which a server says that it is not about to stop.
constexpr std::string_view not_leaving = "0";

/// Parses a decimal number from `min` to `max`; returns nullopt for any other text.
[[nodiscard]] std::optional<double> parse_decimal(std::string_view text, double min, double max) {
  double value = 0;
  // The comparisons are also false for a value that is not a number.
  if (!absl::SimpleAtod(absl::string_view{text.data(), text.size()}, &value) ||
      !(value >= min && value <= max)) {
    return std::nullopt;
  }
  return value;
}

/// Parses "running,waiting,slots,work". Absent figures keep their defaults and further ones are ignored, so
/// that servers of older and newer builds are read too. An unreadable count makes the whole text malformed;
/// an unreadable work figure is left out.
[[nodiscard]] std::optional<load_report> parse_load(std::string_view text) {
  const std::vector<absl::string_view> parts =
      absl::StrSplit(absl::string_view{text.data(), text.size()}, ',');
  load_report report;
  const std::array<int*, 3> counts{&report.running, &report.waiting, &report.slots};
  for (std::size_t i = 0; i < std::min(parts.size(), counts.size()); ++i) {
    if (!absl::SimpleAtoi(parts[i], counts[i])) {
      return std::nullopt;
    }
  }
  if (parts.size() > counts.size()) {
    const auto work = parts[counts.size()];
    report.work_percent = parse_decimal({work.data(), work.size()}, min_work_percent, max_work_percent);
  }
  return report;
}

void log_unreadable(const backend_id& sender, std::string_view field, std::string_view value,
                    std::string_view allowed) {
  log_line{log_level::warn, "backend_statement_unreadable"}
      .field("backend", sender.str())
      .field("field", field)
      .field("value", value)
      .field("allowed", allowed);
}

/// Returns for how long a busy server wants no requests; nullopt if the text is malformed.
[[nodiscard]] std::optional<duration> decode_busy_time(std::string_view text, const backend_id& sender) {
  const auto seconds = parse_decimal(text, min_busy_s, max_readable_busy_s);
  if (!seconds || *seconds > max_busy_s) {
    log_unreadable(sender, retry_after_field, text, "0 to 60 seconds");
  }
  if (!seconds) {
    return std::nullopt;
  }
  return duration{static_cast<std::int64_t>(std::ceil(std::min(*seconds, max_busy_s) * ms_per_second))};
}

}  // namespace
}  // namespace impl

backend_statement decode_statement(const response_head& response, const header_field_names& field_names,
                                   const backend_id& sender) {
  backend_statement statement;
  if (const auto load = find_field(response.fields, field_names.backend_load)) {
    statement.load = impl::parse_load(*load);
  }
  const auto limit = find_field(response.fields, field_names.backend_rate_limit);
  statement.names_no_rate_limit = !limit;
  if (limit) {
    statement.rate_limit = impl::parse_decimal(*limit, impl::min_rate_limit, impl::max_rate_limit);
    if (!statement.rate_limit) {
      impl::log_unreadable(sender, field_names.backend_rate_limit, *limit,
                           "0 to 1000000 requests per second");
    }
  }
  const auto leaving = find_field(response.fields, field_names.backend_leaving);
  statement.is_leaving = leaving && *leaving != impl::not_leaving;
  const auto retry_after = find_field(response.fields, impl::retry_after_field);
  if (response.status == impl::status_unavailable && retry_after) {
    statement.busy_for = impl::decode_busy_time(*retry_after, sender);
  }
  return statement;
}

}  // namespace zinnia
