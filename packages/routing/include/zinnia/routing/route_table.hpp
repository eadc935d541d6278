// Finds a request's route by host and longest path prefix.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>
#include <vector>

#include "zinnia/routing/declarations.hpp"

namespace zinnia {

/// \brief The routes of one configuration. Immutable.
class route_table {
 public:
  explicit route_table(std::vector<route> routes);

  /// \brief The route whose prefix is the longest that begins the path, or null.
  /// \param host As in the request; a port is ignored and case does not matter.
  [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
  [[nodiscard]] const std::vector<route>& all() const noexcept { return this->routes; }

 private:
  std::vector<route> routes;
  // Positions in `routes` by host, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<std::size_t>> by_host;
};

}  // namespace zinnia
