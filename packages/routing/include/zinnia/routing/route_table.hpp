// Looks up the route of a request by host and longest path prefix.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <string>
#include <string_view>
#include <vector>

#include "zinnia/routing/declarations.hpp"

namespace zinnia {

/// \brief Immutable table of the routes of one configuration.
class route_table {
 public:
  explicit route_table(std::vector<route> routes);

  /// \brief Returns the route of the host with the longest prefix that matches the path, or null.
  /// \param host Host as in the request. A port is ignored; the comparison is case-insensitive.
  [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;
  [[nodiscard]] const std::vector<route>& all() const noexcept { return this->routes; }

 private:
  std::vector<route> routes;
  // Indexes into `routes` by host, longest prefix first.
  absl::flat_hash_map<std::string, std::vector<std::size_t>> by_host;
};

}  // namespace zinnia
