// Appends fields to the text of a JSON object.
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
  for (const char character : value) {
    if (character == '"' || character == '\\') {
      this->text += '\\';
      this->text += character;
    } else {
      this->text += static_cast<unsigned char>(character) < ' ' ? ' ' : character;
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
  constexpr std::size_t braces_length = 2;
  if (object.size() > braces_length) {
    this->text += this->text.empty() ? '{' : ',';
    this->text += object.substr(1, object.size() - braces_length);
  }
  return *this;
}

}  // namespace zinnia
