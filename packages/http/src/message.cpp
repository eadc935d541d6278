// Lookup, filtering and serialization of header fields; query parameters and numbers.
#include "zinnia/http/message.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <boost/beast/http/status.hpp>

namespace zinnia {
namespace impl {
namespace {

/// Fields that apply to one connection or describe the framing of one message.
constexpr std::array<std::string_view, 9> non_forwarded_fields{
    "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Content-Length", "TE", "Trailer",
    "Upgrade",    "Expect"};

[[nodiscard]] std::string percent_decode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && absl::ascii_isxdigit(text[i + 1]) &&
        absl::ascii_isxdigit(text[i + 2])) {
      decoded += static_cast<char>(std::stoi(std::string{text.substr(i + 1, 2)}, nullptr, 16));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

}  // namespace
}  // namespace impl

bool equals_ignoring_case(std::string_view a, std::string_view b) noexcept {
  return absl::EqualsIgnoreCase({a.data(), a.size()}, {b.data(), b.size()});
}

std::optional<std::string_view> find_field(const header_fields& fields, std::string_view name) noexcept {
  for (const auto& field : fields) {
    if (equals_ignoring_case(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

bool has_unknown_framing(const header_fields& fields) noexcept {
  int codings = 0;
  bool is_chunked = true;
  for (const auto& field : fields) {
    if (equals_ignoring_case(field.name, "Transfer-Encoding")) {
      ++codings;
      is_chunked = is_chunked && equals_ignoring_case(field.value, "chunked");
    }
  }
  return codings > 1 || !is_chunked;
}

std::string_view request_head::path() const noexcept {
  return std::string_view{this->target}.substr(0, this->target.find('?'));
}

std::optional<std::string> request_head::query_parameter(std::string_view name) const {
  const auto start = this->target.find('?');
  if (start == std::string::npos) {
    return std::nullopt;
  }
  for (const absl::string_view part : absl::StrSplit(this->target.substr(start + 1), '&')) {
    const auto equals = part.find('=');
    if (part.substr(0, equals) == absl::string_view{name.data(), name.size()}) {
      const auto value = equals == absl::string_view::npos ? absl::string_view{} : part.substr(equals + 1);
      return impl::percent_decode({value.data(), value.size()});
    }
  }
  return std::nullopt;
}

header_fields end_to_end_fields(const header_fields& fields, const std::vector<std::string_view>& replaced) {
  std::vector<std::string> connection_options;
  for (const auto& field : fields) {
    if (equals_ignoring_case(field.name, "Connection")) {
      for (const absl::string_view token : absl::StrSplit(field.value, ',')) {
        connection_options.emplace_back(absl::StripAsciiWhitespace(token));
      }
    }
  }
  const auto is_dropped = [&](const header_field& field) {
    const auto matches = [&](std::string_view other) { return equals_ignoring_case(field.name, other); };
    return std::any_of(impl::non_forwarded_fields.begin(), impl::non_forwarded_fields.end(), matches) ||
           std::any_of(connection_options.begin(), connection_options.end(), matches) ||
           std::any_of(replaced.begin(), replaced.end(), matches);
  };
  header_fields forwarded;
  for (const auto& field : fields) {
    if (!is_dropped(field)) {
      forwarded.push_back(field);
    }
  }
  return forwarded;
}

std::size_t memory_of(const header_fields& fields) noexcept {
  // Texts up to the capacity of an empty string are stored inside it.
  const auto inline_capacity = std::string{}.capacity();
  const auto allocated = [inline_capacity](const std::string& text) {
    return text.capacity() > inline_capacity ? text.capacity() + 1 : 0;
  };
  std::size_t bytes = fields.capacity() * sizeof(header_field);
  for (const auto& field : fields) {
    bytes += allocated(field.name) + allocated(field.value);
  }
  return bytes;
}

void append_fields(std::string& out, const header_fields& fields) {
  for (const auto& field : fields) {
    absl::StrAppend(&out, field.name, ": ", field.value, "\r\n");
  }
}

std::optional<std::int64_t> parse_number(std::string_view text) noexcept {
  std::int64_t number = 0;
  if (text.empty() || !absl::ascii_isdigit(text.front()) ||
      !absl::SimpleAtoi(absl::string_view{text.data(), text.size()}, &number)) {
    return std::nullopt;
  }
  return number;
}

std::string_view standard_reason_phrase(int status) noexcept {
  const auto phrase = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
  return {phrase.data(), phrase.size()};
}

}  // namespace zinnia
