// One node: its listeners, its gateway and its control thread, from start to stop.
#pragma once

#include <memory>

#include "zinnia/node/deployment.hpp"
#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {

/// \brief  Runs a node until a signal ends the process.
/// \param  tree The settings tree that holds until the store has one.
/// \return The process's exit code: 0 after a stop, 1 if an address cannot be listened on.
[[nodiscard]] int run_entry_node(const deployment& adapter, const node_settings& settings,
                                 std::shared_ptr<const settings_tree> tree);

/// \brief Reads a settings tree from a file; an empty name gives a tree of defaults.
[[nodiscard]] result<std::shared_ptr<const settings_tree>> read_settings_tree(const std::string& file_name);

}  // namespace zinnia
