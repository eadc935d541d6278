// A flat JSON object, built field by field for log lines and records.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace zinnia {

/// \brief   Appends fields in the order given.
/// \details Names must need no escaping; values may hold anything, control characters become spaces.
class json_object {
 public:
  json_object& field(std::string_view name, std::string_view value);
  json_object& field(std::string_view name, std::int64_t value);
  /// \brief Appends the fields of another object, given as `str()` gives it.
  json_object& merge(std::string_view object);
  /// \brief The object as one line.
  [[nodiscard]] std::string str() const { return this->text.empty() ? "{}" : this->text + '}'; }

 private:
  void begin_field(std::string_view name);

  std::string text;
};

}  // namespace zinnia
