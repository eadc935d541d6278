// The document that holds the settings tree in the platform's store: its YAML text and the planned shifts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinnia/core/result.hpp"
#include "zinnia/settings/declarations.hpp"

namespace zinnia {

/// \brief   The settings after one accepted edit.
/// \details The edit id is unique. A writer that gets no response reads the document back and compares the id
///          to find out if its write took effect.
struct settings_document {
  std::string edit_id;
  std::string author;
  /// The YAML text as it is in version control, including comments.
  std::string tree_text;
  std::vector<shift_intent> shifts;
};

/// \brief Returns the document as JSON for the store.
[[nodiscard]] std::string encode(const settings_document& document);

/// \brief Decodes a document from JSON.
/// \return The document, or an error that describes the JSON value that is missing or malformed.
[[nodiscard]] result<settings_document> decode_settings_document(const std::string& text);

}  // namespace zinnia
