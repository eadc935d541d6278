// Reads the settings tree that is in use until the store provides one.
#include <fstream>
#include <memory>
#include <sstream>

#include "zinnia/node/entry_node.hpp"

namespace zinnia {

result<std::shared_ptr<const settings_tree>> read_settings_tree(const std::string& file_name) {
  if (file_name.empty()) {
    return std::make_shared<const settings_tree>();
  }
  std::ifstream file{file_name};
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    return error{reason::invalid_setting, "tree: cannot be read; allowed: a readable file", file_name};
  }
  settings_document document;
  document.tree_text = text.str();
  auto parsed = settings_tree::parse(document, file_name);
  if (!parsed) {
    return parsed.last_error();
  }
  return std::make_shared<const settings_tree>(std::move(parsed).value());
}

}  // namespace zinnia
