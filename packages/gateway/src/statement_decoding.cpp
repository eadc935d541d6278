// Parses the header fields in which a backend server states its load and its limits.
#include "statement_decoding.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <string>
#include <vector>

#include "zinnia/observe/log.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Bounds of a stated rate limit, in requests per second. No server handles more than the largest.
constexpr double min_rate_limit = 0;
constexpr double max_rate_limit = 1'000'000;

/// The only value with which a server says that it is not about to stop.
constexpr std::string_view not_leaving = "0";

/// Parses "running,waiting,slots"; returns nullopt if the text is malformed.
[[nodiscard]] std::optional<load_report> parse_load(std::string_view text) {
  const std::vector<absl::string_view> parts =
      absl::StrSplit(absl::string_view{text.data(), text.size()}, ',');
  load_report report;
  constexpr std::size_t part_count = 3;
  if (parts.size() != part_count || !absl::SimpleAtoi(parts[0], &report.running) ||
      !absl::SimpleAtoi(parts[1], &report.waiting) || !absl::SimpleAtoi(parts[2], &report.slots)) {
    return std::nullopt;
  }
  return report;
}

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
      log_line{log_level::warn, "backend_statement_unreadable"}
          .field("backend", sender.str())
          .field("field", field_names.backend_rate_limit)
          .field("value", *limit)
          .field("allowed", "0 to 1000000 requests per second");
    }
  }
  const auto leaving = find_field(response.fields, field_names.backend_leaving);
  statement.is_leaving = leaving && *leaving != impl::not_leaving;
  return statement;
}

}  // namespace zinnia
