// Index of routes by host, and look-up by longest prefix.
#include "zinnia/routing/route_table.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

[[nodiscard]] std::string host_key(std::string_view host) {
  const auto name = host.substr(0, host.find(':'));
  return absl::AsciiStrToLower({name.data(), name.size()});
}

}  // namespace
}  // namespace impl

route_table::route_table(std::vector<route> routes_in) : routes{std::move(routes_in)} {
  for (std::size_t i = 0; i < this->routes.size(); ++i) {
    this->by_host[impl::host_key(this->routes[i].host)].push_back(i);
  }
  for (auto& [host, positions] : this->by_host) {
    std::stable_sort(positions.begin(), positions.end(), [this](std::size_t a, std::size_t b) {
      return this->routes[a].prefix.size() > this->routes[b].prefix.size();
    });
  }
}

const route* route_table::find(std::string_view host, std::string_view path) const {
  auto found = this->by_host.find(impl::host_key(host));
  if (found == this->by_host.end()) {
    found = this->by_host.find(std::string{});
  }
  if (found == this->by_host.end()) {
    return nullptr;
  }
  for (const auto position : found->second) {
    const auto& candidate = this->routes[position];
    if (path.starts_with(candidate.prefix)) {
      return &candidate;
    }
  }
  return nullptr;
}

}  // namespace zinnia
