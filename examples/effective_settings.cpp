// Prints the effective settings of each service in a settings tree, and where each value comes from.
//
// Usage: effective_settings FILE [REGION [FAILURE_DOMAIN]]
#include <fstream>
#include <iostream>
#include <sstream>

#include "zinnia/settings/settings_tree.hpp"

int main(int argc, char** argv) {
  using namespace zinnia;
  if (argc < 2) {
    std::cerr << "usage: effective_settings FILE [REGION [FAILURE_DOMAIN]]\n";
    return 2;
  }
  std::ifstream file{argv[1]};
  std::ostringstream text;
  text << file.rdbuf();
  const auto tree = settings_tree::parse({"example", "example", text.str(), {}}, argv[1]);
  if (!tree) {
    std::cerr << tree.last_error().describe() << '\n';
    return 2;
  }
  const region_id region{argc > 2 ? argv[2] : ""};
  const failure_domain_id domain{argc > 3 ? argv[3] : ""};
  for (const auto& service : tree->services()) {
    const auto effective = tree->effective(service, region, domain);
    std::cout << service << '\n';
    for (const auto& [name, origin] : effective.origins) {
      const auto* const setting = find_setting(name);
      std::cout << "  " << name << " = " << format_setting(*setting, effective.values.*(setting->member))
                << "  (" << origin << ")\n";
    }
  }
  return 0;
}
