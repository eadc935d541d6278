// Settings of the process: flags, then environment variables, then defaults; all checked at start.
#pragma once

#include <optional>
#include <string>

#include "zinnia/core/result.hpp"
#include "zinnia/node/node_settings.hpp"

namespace zinnia {

/// \brief What the command line asked for.
struct parsed_options {
  /// Nothing if only a text is to be printed.
  std::optional<node_settings> settings;
  /// Help or version text to print; the process then ends with exit code 0.
  std::string text;
};

/// \brief  Reads the options of a process.
/// \param  base Settings that a settings file gave; options then only add what no file says.
/// \return The settings, a text to print, or an error that names the option, its value and what is allowed.
[[nodiscard]] result<parsed_options> parse_daemon_options(int argc, const char* const* argv,
                                                          const std::optional<node_settings>& base);

}  // namespace zinnia
