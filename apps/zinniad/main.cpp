// zinniad: the daemon that runs on every entry VM.
#include <iostream>
#include <memory>

#include "daemon_options.hpp"
#include "zinnia/node/entry_node.hpp"
#include "zinnia/platform/platform_deployment.hpp"
#include "zinnia/platform/settings_file.hpp"

namespace {

constexpr int exit_code_bad_settings = 2;

int report_error(const zinnia::error& cause) {
  std::cerr << "zinniad: " << cause.describe() << '\n';
  return exit_code_bad_settings;
}

/// Adds the failure domains of the settings tree. Used only if no settings file of the platform lists them.
void add_failure_domains(const zinnia::settings_tree& tree, zinnia::node_settings& settings) {
  settings.regions.emplace(settings.own_location.domain, settings.own_location.region);
  for (const auto& domain : tree.domains()) {
    settings.regions.emplace(domain.id, domain.region);
  }
}

}  // namespace

int main(int argc, char** argv) {
  zinnia::hold_signals();
  const auto settings_file = zinnia::platform::settings_path();
  std::optional<zinnia::node_settings> base_settings;
  if (settings_file) {
    const auto file_settings = zinnia::platform::read_settings(*settings_file);
    if (!file_settings) {
      return report_error(file_settings.last_error());
    }
    base_settings = *file_settings;
  }
  const auto parsed = zinnia::parse_daemon_options(argc, argv, base_settings);
  if (!parsed) {
    return report_error(parsed.last_error());
  }
  if (!parsed->settings) {
    std::cout << parsed->text;
    return 0;
  }
  auto settings = *parsed->settings;
  const auto tree = zinnia::read_settings_tree(settings.tree_file);
  if (!tree) {
    return report_error(tree.last_error());
  }
  if (!settings_file) {
    add_failure_domains(**tree, settings);
  }
  const zinnia::platform::platform_deployment adapter{settings.store_endpoint.str(),
                                                      settings_file.value_or("")};
  return zinnia::run_entry_node(adapter, settings, *tree);
}
