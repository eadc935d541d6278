// Command-line options of zinniad. A flag overrides an environment variable, which overrides the default. All
// values are checked at start.
#pragma once

#include <optional>
#include <string>

#include "zinnia/core/result.hpp"
#include "zinnia/node/node_settings.hpp"

namespace zinnia {

/// \brief The settings to run with, or a text to print.
struct parsed_options {
  /// Empty if there is only a text to print.
  std::optional<node_settings> settings;
  /// Help or version text. The process prints it and ends with exit code 0.
  std::string text;
};

/// \brief  Parses and checks the flags and environment variables of the process.
/// \param  file_settings Values of the settings file, if any. Options that the file sets are then refused.
/// \return The settings, a text to print, or an error with the option's name, its value and allowed values.
[[nodiscard]] result<parsed_options> parse_daemon_options(int argc, const char* const* argv,
                                                          const std::optional<node_settings>& file_settings);

}  // namespace zinnia
