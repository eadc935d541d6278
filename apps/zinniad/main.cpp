// zinniad: the process that every entry VM runs.
#include <iostream>
#include <memory>

#include "daemon_options.hpp"
#include "zinnia/node/entry_node.hpp"
#include "zinnia/platform/platform_deployment.hpp"
#include "zinnia/platform/settings_file.hpp"

namespace {

constexpr int exit_bad_settings = 2;

int complain(const zinnia::error& cause) {
  std::cerr << "zinniad: " << cause.describe() << '\n';
  return exit_bad_settings;
}

/// Without a file of the platform, the tree says which failure domains there are.
void take_places(const zinnia::settings_tree& tree, zinnia::node_settings& settings) {
  settings.regions.emplace(settings.own_location.domain, settings.own_location.region);
  for (const auto& domain : tree.domains()) {
    settings.regions.emplace(domain.id, domain.region);
  }
}

}  // namespace

int main(int argc, char** argv) {
  const auto file = zinnia::platform::settings_path();
  std::optional<zinnia::node_settings> base;
  if (file) {
    const auto read = zinnia::platform::read_settings(*file);
    if (!read) {
      return complain(read.last_error());
    }
    base = *read;
  }
  const auto parsed = zinnia::parse_daemon_options(argc, argv, base);
  if (!parsed) {
    return complain(parsed.last_error());
  }
  if (!parsed->settings) {
    std::cout << parsed->text;
    return 0;
  }
  auto settings = *parsed->settings;
  const auto tree = zinnia::read_settings_tree(settings.tree_file);
  if (!tree) {
    return complain(tree.last_error());
  }
  if (!file) {
    take_places(**tree, settings);
  }
  const zinnia::platform::platform_deployment outside{settings.store_endpoint.str(), file.value_or("")};
  return zinnia::run_entry_node(outside, settings, *tree);
}
