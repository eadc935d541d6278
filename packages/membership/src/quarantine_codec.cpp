// Times are stored in Unix milliseconds, fingerprints in 16 hexadecimal digits.
#include "zinnia/membership/quarantine_codec.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "zinnia/routing/crash_ledger.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::size_t name_length = 16;
/// As in the reports between nodes.
constexpr std::int64_t max_crashes = UINT16_MAX;

[[nodiscard]] std::string to_hex(std::uint64_t value) {
  return absl::StrCat(absl::Hex(value, absl::kZeroPad16));
}

}  // namespace
}  // namespace impl

std::string quarantine_name(request_fingerprint request) {
  return impl::to_hex(request.count());
}

std::string encode_quarantine(const crash_report& report, std::int64_t unix_now_ms) {
  return nlohmann::json{{"last_crash_unix_ms", unix_now_ms - report.age.ms},
                        {"first_crash_unix_ms", unix_now_ms - report.first_age.ms},
                        {"crashes", report.crashes},
                        {"backend", impl::to_hex(report.backend)}}
      .dump();
}

result<crash_report> decode_quarantine(const std::string& name, const std::string& document,
                                       std::int64_t unix_now_ms) {
  const auto invalid = [&](const std::string& why) {
    return error{reason::invalid_setting, why, "quarantined request " + name};
  };
  crash_report report;
  std::uint64_t fingerprint = 0;
  if (name.size() != impl::name_length || !absl::SimpleHexAtoi(name, &fingerprint)) {
    return invalid("name; allowed: 16 hexadecimal digits");
  }
  report.request = request_fingerprint{fingerprint};
  report.level = crash_ledger::quarantine_level;
  try {
    const auto parsed = nlohmann::json::parse(document);
    const auto age_of = [&](const char* field) {
      const auto at = parsed.at(field).get<std::int64_t>();
      return at < 0 ? std::optional<duration>{} : duration{std::max<std::int64_t>(unix_now_ms - at, 0)};
    };
    const auto age = age_of("last_crash_unix_ms");
    const auto first_age = age_of("first_crash_unix_ms");
    if (!age || !first_age) {
      return invalid("last_crash_unix_ms, first_crash_unix_ms; allowed: 0 and above");
    }
    report.age = *age;
    report.first_age = std::max(*first_age, *age);
    const auto crashes = parsed.at("crashes").get<std::int64_t>();
    if (crashes < 1 || crashes > impl::max_crashes) {
      return invalid("crashes: " + std::to_string(crashes) + "; allowed: 1 to 65535");
    }
    report.crashes = static_cast<int>(crashes);
    if (!absl::SimpleHexAtoi(parsed.at("backend").get<std::string>(), &report.backend)) {
      return invalid("backend; allowed: hexadecimal digits");
    }
  } catch (const nlohmann::json::exception& problem) {
    return invalid(problem.what());
  }
  return report;
}

}  // namespace zinnia
