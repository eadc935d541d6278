// Command lines of the stand-ins: named options whose values are checked.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace zinnia::standins {

/// \brief A whole number and the range that it must be in.
struct number_option {
  const char* name;
  /// Holds the default before and the value after parsing.
  int& value;
  int min_value;
  int max_value;
  const char* help;
};

/// \brief A text and the condition that it must fulfil.
struct text_option {
  const char* name;
  /// Holds the default before and the value after parsing.
  std::string& value;
  bool (*is_allowed)(const std::string&);
  /// Describes the allowed values.
  const char* allowed;
  const char* help;
};

/// \brief The options of one program; `--help` is always one of them.
struct command_line {
  const char* program;
  std::vector<text_option> texts;
  std::vector<number_option> numbers;

  /// \brief   Reads the arguments into the options' values.
  /// \details Prints the help or, for bad input, an error that names option, value and range.
  /// \return  The exit code if the program should end: 0 after `--help`, 2 after bad input.
  [[nodiscard]] std::optional<int> parse(int argc, const char* const* argv) const;
};

/// \name Conditions for texts
/// \{
[[nodiscard]] bool is_name(const std::string& text);
[[nodiscard]] bool is_path(const std::string& text);
[[nodiscard]] bool is_address(const std::string& text);
[[nodiscard]] bool is_address_or_empty(const std::string& text);
constexpr const char* allowed_names = "1 to 64 letters, digits, '-', '_' or '.'";
constexpr const char* allowed_paths = "a path that begins with '/'";
constexpr const char* allowed_addresses = "ip:port with a port of 0 to 65535";
/// \}

constexpr int max_port = 65'535;

}  // namespace zinnia::standins
