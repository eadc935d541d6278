// The result of an operation that can fail: a value or an error.
#pragma once

#include <optional>
#include <string>
#include <utility>

#include "zinnia/core/reason.hpp"

namespace zinnia {

/// \brief An error with its description and position.
struct error {
  reason code{reason::none};
  /// What is wrong, with the rejected value and the allowed range.
  std::string message;
  /// File and line, or the path of a setting; empty when there is none.
  std::string position;

  /// \brief Returns the position and the message as one line.
  [[nodiscard]] std::string describe() const {
    return this->position.empty() ? this->message : this->position + ": " + this->message;
  }
};

/// \brief A value, or the error that prevented it.
///
/// \code
/// result<int> parsed = parse(text);
/// if (!parsed) {
///     log(parsed.last_error().describe());
/// }
/// \endcode
template <class T>
class [[nodiscard]] result {
 public:
  result(T initial) : stored_value{std::move(initial)} {}  // NOLINT(google-explicit-constructor)
  result(error cause) : stored_error{std::move(cause)} {}  // NOLINT(google-explicit-constructor)

  [[nodiscard]] explicit operator bool() const noexcept { return this->stored_value.has_value(); }
  [[nodiscard]] const T& value() const& { return this->stored_value.value(); }
  [[nodiscard]] T& value() & { return this->stored_value.value(); }
  [[nodiscard]] T&& value() && { return std::move(this->stored_value).value(); }
  [[nodiscard]] const T* operator->() const { return &this->stored_value.value(); }
  [[nodiscard]] const T& operator*() const { return this->stored_value.value(); }
  /// \brief Returns the error; its code is `none` if there is a value.
  [[nodiscard]] const error& last_error() const noexcept { return this->stored_error; }

 private:
  std::optional<T> stored_value;
  error stored_error;
};

}  // namespace zinnia
