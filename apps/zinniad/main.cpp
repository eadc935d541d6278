// zinniad: the process that every entry VM runs.
#include <iostream>

#include "daemon.hpp"
#include "zinnia/platform/platform_node.hpp"
#include "zinnia/platform/settings_file.hpp"

int main(int argc, char** argv) {
  if (const auto settings_file = zinnia::platform::settings_path()) {
    return zinnia::platform::run_platform_node(*settings_file, argc, argv);
  }
  constexpr int exit_bad_settings = 2;
  const auto parsed = zinnia::parse_daemon_options(argc, argv);
  if (!parsed) {
    std::cerr << "zinniad: " << parsed.last_error().describe() << '\n';
    return exit_bad_settings;
  }
  if (!parsed->options) {
    std::cout << parsed->text;
    return 0;
  }
  return zinnia::run_daemon(*parsed->options);
}
