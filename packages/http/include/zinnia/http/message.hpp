// Heads of HTTP/1.1 messages and the rules for forwarding their fields.
#pragma once

#include <cstddef>
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

/// \brief Returns the value of the first field with that name, ignoring case, or nullopt.
[[nodiscard]] std::optional<std::string_view> find_field(const header_fields& fields,
                                                         std::string_view name) noexcept;

/// \brief True if two field names or tokens are equal, ignoring case.
[[nodiscard]] bool equals_ignoring_case(std::string_view a, std::string_view b) noexcept;

/// \brief   True if a message has a transfer coding other than a single `chunked`.
/// \details Its end cannot be found then, and what follows could be taken for another message.
[[nodiscard]] bool has_unknown_framing(const header_fields& fields) noexcept;

/// \brief The request line and the header fields.
struct request_head {
  std::string method;
  /// The request target as received, including its query.
  std::string target;
  /// 10 for HTTP/1.0, 11 for HTTP/1.1.
  int version{11};
  header_fields fields;
  bool keep_alive{true};

  /// \brief Returns the target without its query.
  [[nodiscard]] std::string_view path() const noexcept;
  /// \brief Returns the percent-decoded value of a query parameter, or nullopt.
  [[nodiscard]] std::optional<std::string> query_parameter(std::string_view name) const;
};

/// \brief The status line and the header fields.
struct response_head {
  int status{0};
  std::string reason_phrase;
  header_fields fields;
  /// The length of the body in bytes, if the sender stated one.
  std::optional<std::uint64_t> content_length;
};

/// \brief   Returns the fields that may be forwarded, without those that apply to one connection only.
/// \details Drops `Connection`, the fields that it lists, framing fields, and all names in `replaced`.
[[nodiscard]] header_fields end_to_end_fields(const header_fields& fields,
                                              const std::vector<std::string_view>& replaced);

/// \brief Returns the memory that fields take, in bytes.
[[nodiscard]] std::size_t memory_of(const header_fields& fields) noexcept;

/// \brief Appends fields to a serialized message head.
void append_fields(std::string& out, const header_fields& fields);

/// \brief Parses an unsigned decimal number. Returns nullopt for any other text.
[[nodiscard]] std::optional<std::int64_t> parse_number(std::string_view text) noexcept;

/// \brief Returns the standard reason phrase of a status code.
[[nodiscard]] std::string_view standard_reason_phrase(int status) noexcept;

}  // namespace zinnia
