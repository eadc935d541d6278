// Reads, combines and formats the nodes' lists of restricted backend servers.
#include "server_report.hpp"

#include <algorithm>
#include <array>
#include <iomanip>
#include <map>
#include <sstream>
#include <tuple>

namespace zinnia {
namespace impl {
namespace {

using nlohmann::json;

struct text_field {
  const char* name;
  std::string reported_restriction::*member;
};
constexpr std::array<text_field, 4> text_fields{{{"backend", &reported_restriction::backend},
                                                 {"service", &reported_restriction::service},
                                                 {"domain", &reported_restriction::domain},
                                                 {"reason", &reported_restriction::reason}}};

struct rate_field {
  const char* name;
  double reported_restriction::*member;
};
constexpr std::array<rate_field, 2> rate_fields{
    {{"limit_per_second", &reported_restriction::limit_per_second},
     {"share_per_second", &reported_restriction::share_per_second}}};

[[nodiscard]] error unreadable(std::size_t index, const char* name, const char* allowed) {
  return {reason::invalid_setting,
          "restrictions[" + std::to_string(index) + "]." + name + ": not readable; allowed: " + allowed, ""};
}

[[nodiscard]] result<reported_restriction> parse_restriction(const json& entry, std::size_t index) {
  reported_restriction restriction;
  for (const auto& field : text_fields) {
    const auto found = entry.find(field.name);
    if (found == entry.end() || !found->is_string()) {
      return unreadable(index, field.name, "a text");
    }
    restriction.*(field.member) = found->get<std::string>();
  }
  if (const auto remaining = entry.find("remaining_ms"); remaining != entry.end()) {
    if (!remaining->is_number_integer() || remaining->get<std::int64_t>() < 0) {
      return unreadable(index, "remaining_ms", "a whole number from 0");
    }
    restriction.remaining = duration{remaining->get<std::int64_t>()};
  }
  for (const auto& field : rate_fields) {
    if (const auto rate = entry.find(field.name); rate != entry.end()) {
      if (!rate->is_number() || rate->get<double>() < 0) {
        return unreadable(index, field.name, "a number from 0");
      }
      restriction.*(field.member) = rate->get<double>();
    }
  }
  return restriction;
}

void add(server_line& line, const reported_restriction& seen) {
  const bool is_first = line.node_count == 0;
  ++line.node_count;
  if (seen.remaining) {
    line.least_remaining = std::min(line.least_remaining.value_or(*seen.remaining), *seen.remaining);
    line.most_remaining = std::max(line.most_remaining.value_or(*seen.remaining), *seen.remaining);
  }
  line.limit_per_second = std::max(line.limit_per_second, seen.limit_per_second);
  line.least_share = is_first ? seen.share_per_second : std::min(line.least_share, seen.share_per_second);
  line.most_share = std::max(line.most_share, seen.share_per_second);
}

template <class Value>
void write_range(std::ostringstream& out, Value least, Value most) {
  out << least;
  if (most != least) {
    out << " to " << most;
  }
}

}  // namespace
}  // namespace impl

result<std::vector<reported_restriction>> parse_restrictions(const std::string& body) {
  const auto document = impl::json::parse(body, nullptr, false);
  const auto list = document.is_object() ? document.find("restrictions") : document.end();
  if (!document.is_object() || list == document.end() || !list->is_array()) {
    return error{reason::invalid_setting, "restrictions: not readable; allowed: a list", ""};
  }
  std::vector<reported_restriction> found;
  for (std::size_t i = 0; i < list->size(); ++i) {
    const auto entry = impl::parse_restriction((*list)[i], i);
    if (!entry) {
      return entry.last_error();
    }
    found.push_back(*entry);
  }
  return found;
}

server_report combine(const std::vector<node_answer>& answers) {
  server_report report;
  std::map<std::tuple<std::string, std::string, std::string>, server_line> lines;
  for (const auto& answer : answers) {
    if (!answer.problem.empty()) {
      report.missing.push_back(answer);
      continue;
    }
    ++report.answered_count;
    for (const auto& seen : answer.restrictions) {
      auto& line = lines[{seen.service, seen.backend, seen.reason}];
      line.backend = seen.backend;
      line.service = seen.service;
      line.domain = seen.domain;
      line.reason = seen.reason;
      impl::add(line, seen);
    }
  }
  for (auto& [key, line] : lines) {
    report.lines.push_back(std::move(line));
  }
  return report;
}

std::string format_text(const server_report& report) {
  std::ostringstream out;
  out << std::setprecision(3);
  for (const auto& line : report.lines) {
    out << line.backend << "  " << line.service << "  " << line.domain << "  " << line.reason << "  at "
        << line.node_count << " of " << report.answered_count << " nodes";
    if (line.least_remaining) {
      out << (line.reason == "suspended" ? "  next health check in " : "  for ");
      impl::write_range(out, line.least_remaining->ms, line.most_remaining->ms);
      out << " ms";
    }
    if (line.limit_per_second > 0) {
      out << "  " << line.limit_per_second << "/s for all nodes, ";
      impl::write_range(out, line.least_share, line.most_share);
      out << "/s a node";
    }
    out << '\n';
  }
  if (report.lines.empty() && report.answered_count > 0) {
    out << "no backend server is restricted at " << report.answered_count << " nodes\n";
  }
  for (const auto& answer : report.missing) {
    out << "node " << answer.node << "  " << answer.problem << '\n';
  }
  return out.str();
}

nlohmann::json to_json(const server_report& report) {
  impl::json document{
      {"nodes", report.answered_count}, {"servers", impl::json::array()}, {"missing", impl::json::array()}};
  for (const auto& line : report.lines) {
    impl::json entry{{"backend", line.backend},
                     {"service", line.service},
                     {"domain", line.domain},
                     {"reason", line.reason},
                     {"nodes", line.node_count}};
    if (line.least_remaining) {
      entry["remaining_ms"] = {{"least", line.least_remaining->ms}, {"most", line.most_remaining->ms}};
    }
    if (line.limit_per_second > 0) {
      entry["limit_per_second"] = line.limit_per_second;
      entry["share_per_second"] = {{"least", line.least_share}, {"most", line.most_share}};
    }
    document["servers"].push_back(std::move(entry));
  }
  for (const auto& answer : report.missing) {
    document["missing"].push_back({{"node", answer.node}, {"problem", answer.problem}});
  }
  return document;
}

}  // namespace zinnia
