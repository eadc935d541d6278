// Builds flat JSON objects for log lines and records.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace zinnia {

/// \brief   A JSON object whose fields are written in the order in which they are added.
/// \details Names are not escaped and must not need it. In values, quotes and backslashes are escaped and
///          control characters are replaced by spaces.
class json_object {
 public:
  json_object& field(std::string_view name, std::string_view value);
  json_object& field(std::string_view name, std::int64_t value);
  /// \brief Appends the fields of another object, which is passed as the text that `str()` returns.
  json_object& merge(std::string_view object);
  /// \brief Returns the object as one line.
  [[nodiscard]] std::string str() const { return this->text.empty() ? "{}" : this->text + '}'; }

 private:
  void begin_field(std::string_view name);

  std::string text;
};

}  // namespace zinnia
