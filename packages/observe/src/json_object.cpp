// Quoting and appending.
#include "zinnia/observe/json_object.hpp"

#include <absl/strings/str_cat.h>

namespace zinnia {

void json_object::begin_field(std::string_view name) {
  this->text += this->text.empty() ? '{' : ',';
  this->text += '"';
  this->text += name;
  this->text += R"(":)";
}

json_object& json_object::field(std::string_view name, std::string_view value) {
  this->begin_field(name);
  this->text += '"';
  for (const char letter : value) {
    if (letter == '"' || letter == '\\') {
      this->text += '\\';
      this->text += letter;
    } else {
      this->text += static_cast<unsigned char>(letter) < ' ' ? ' ' : letter;
    }
  }
  this->text += '"';
  return *this;
}

json_object& json_object::field(std::string_view name, std::int64_t value) {
  this->begin_field(name);
  absl::StrAppend(&this->text, value);
  return *this;
}

json_object& json_object::merge(std::string_view object) {
  constexpr std::size_t braces = 2;
  if (object.size() > braces) {
    this->text += this->text.empty() ? '{' : ',';
    this->text += object.substr(1, object.size() - braces);
  }
  return *this;
}

}  // namespace zinnia
