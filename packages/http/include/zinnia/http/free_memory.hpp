// Strings whose memory is not needed any more.
#pragma once

#include <string>

namespace zinnia {

/// \brief Empties a string and frees its memory. `clear` and the assignment of an empty string keep it.
inline void free_memory(std::string& text) noexcept {
  std::string{}.swap(text);
}

}  // namespace zinnia
