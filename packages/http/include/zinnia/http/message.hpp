// Heads of HTTP/1.1 messages and the rules for passing their fields on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace zinnia {

/// \brief One header field as received.
struct header_field {
  std::string name;
  std::string value;
};

using header_fields = std::vector<header_field>;

/// \brief The first field of that name, compared without case, or nothing.
[[nodiscard]] std::optional<std::string_view> find_field(const header_fields& fields,
                                                         std::string_view name) noexcept;

/// \brief Whether two field names or tokens are equal without case.
[[nodiscard]] bool equals_ignoring_case(std::string_view a, std::string_view b) noexcept;

/// \brief A request's start line and fields.
struct request_head {
  std::string method;
  /// As received, query included.
  std::string target;
  /// 10 for HTTP/1.0, 11 for HTTP/1.1.
  int version{11};
  header_fields fields;
  bool keep_alive{true};

  /// \brief The target up to its query.
  [[nodiscard]] std::string_view path() const noexcept;
  /// \brief The value of a query parameter, percent-decoded, or nothing.
  [[nodiscard]] std::optional<std::string> query_parameter(std::string_view name) const;
};

/// \brief A response's status line and fields.
struct response_head {
  int status{0};
  std::string reason_phrase;
  header_fields fields;
  /// Length of the body if the sender stated one.
  std::optional<std::uint64_t> content_length;
};

/// \brief   Fields that may be passed on: without those that concern one connection only.
/// \details Drops `Connection`, the fields that it names, framing, and any in `replaced`.
[[nodiscard]] header_fields end_to_end_fields(const header_fields& fields,
                                              const std::vector<std::string_view>& replaced);

/// \brief Appends fields as lines of a message's head.
void append_fields(std::string& out, const header_fields& fields);

/// \brief A decimal number without sign, or nothing for any other text.
[[nodiscard]] std::optional<std::int64_t> parse_number(std::string_view text) noexcept;

/// \brief The usual phrase of a status code.
[[nodiscard]] std::string_view standard_reason_phrase(int status) noexcept;

}  // namespace zinnia
