// Checks UTF-8 sequence by sequence.
#include "zinnia/core/utf8.hpp"

namespace zinnia {
namespace impl {
namespace {

/// The number of bytes in the UTF-8 sequence at an offset, or 0 if it is invalid there. Overlong forms,
/// surrogates and code points above U+10FFFF are invalid.
[[nodiscard]] std::size_t utf8_sequence_length(std::string_view text, std::size_t offset) noexcept {
  const auto byte = [&](std::size_t index) { return static_cast<unsigned char>(text[index]); };
  const unsigned first = byte(offset);
  std::size_t length = 0;
  unsigned min_second_byte = 0x80;
  unsigned max_second_byte = 0xbf;
  if (first < 0x80) {
    return 1;
  }
  if (first >= 0xc2 && first <= 0xdf) {
    length = 2;
  } else if (first >= 0xe0 && first <= 0xef) {
    length = 3;
    min_second_byte = first == 0xe0 ? 0xa0 : 0x80;
    max_second_byte = first == 0xed ? 0x9f : 0xbf;
  } else if (first >= 0xf0 && first <= 0xf4) {
    length = 4;
    min_second_byte = first == 0xf0 ? 0x90 : 0x80;
    max_second_byte = first == 0xf4 ? 0x8f : 0xbf;
  }
  if (length == 0 || offset + length > text.size() || byte(offset + 1) < min_second_byte ||
      byte(offset + 1) > max_second_byte) {
    return 0;
  }
  for (std::size_t i = 2; i < length; ++i) {
    if ((byte(offset + i) & 0xc0U) != 0x80) {
      return 0;
    }
  }
  return length;
}

}  // namespace
}  // namespace impl

std::optional<std::size_t> find_invalid_utf8(std::string_view text) noexcept {
  for (std::size_t offset = 0; offset < text.size();) {
    const auto length = impl::utf8_sequence_length(text, offset);
    if (length == 0) {
      return offset;
    }
    offset += length;
  }
  return std::nullopt;
}

std::string replace_invalid_utf8(std::string_view text) {
  std::string valid;
  valid.reserve(text.size());
  for (std::size_t offset = 0; offset < text.size();) {
    const auto length = impl::utf8_sequence_length(text, offset);
    if (length == 0) {
      valid += '?';
      ++offset;
    } else {
      valid.append(text, offset, length);
      offset += length;
    }
  }
  return valid;
}

}  // namespace zinnia
