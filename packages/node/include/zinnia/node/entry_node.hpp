// Runs one entry node: its listeners, its gateway and its control thread, from start to stop.
#pragma once

#include <memory>

#include "zinnia/node/deployment.hpp"
#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {

/// \brief   Blocks the signals that a node handles, so that they do not end the process before it does.
/// \details Called first in `main`, while the process has one thread. A stopped node blocks them again.
void hold_signals() noexcept;

/// \brief   Runs a node until SIGTERM or SIGINT, then exits the process.
/// \details The exit code is 0 after a stop and 1 if the node cannot listen on one of its addresses.
/// \param   tree The settings tree in use until the store provides one.
[[nodiscard]] int run_entry_node(const deployment& adapter, const node_settings& settings,
                                 std::shared_ptr<const settings_tree> tree);

/// \brief   Reads a settings tree from a file.
/// \details An empty file name gives a tree of defaults.
[[nodiscard]] result<std::shared_ptr<const settings_tree>> read_settings_tree(const std::string& file_name);

}  // namespace zinnia
