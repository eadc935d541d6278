// Routes, services and backend servers declared by the settings tree, for deployments without another source.
#pragma once

#include <vector>

#include "zinnia/routing/declarations.hpp"

namespace zinnia {

/// \brief The declarations of a settings tree; empty for a tree without services.
struct tree_declarations {
  /// One for each service: "/v1/services/NAME/" on any host; the prefix is removed before forwarding.
  std::vector<route> routes;
  std::vector<service_declaration> services;
  std::vector<backend_declaration> backends;
};

[[nodiscard]] tree_declarations declarations_of(const settings_tree& tree);

}  // namespace zinnia
