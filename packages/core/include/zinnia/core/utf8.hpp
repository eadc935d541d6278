// Validity of UTF-8 text from outside.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace zinnia {

/// \brief Returns the offset of the first byte that belongs to no valid sequence, or nullopt if the text is
/// UTF-8.
///        Overlong forms, surrogates and code points above U+10FFFF are invalid.
[[nodiscard]] std::optional<std::size_t> find_invalid_utf8(std::string_view text) noexcept;

/// \brief Replaces each byte that belongs to no valid sequence by '?'.
[[nodiscard]] std::string replace_invalid_utf8(std::string_view text);

}  // namespace zinnia
