// Which backend servers may hold an object. Pure, and the same at all nodes of a region that know the same
// servers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace zinnia {

/// \brief Distance between a node and a backend server.
enum class proximity : unsigned char { same_domain, same_region, other_region };

/// \brief A backend server that may become a home.
struct home_candidate {
  std::uint64_t hash{0};
  /// Greater than 0.
  double weight{1};
  bool is_in_own_domain{false};
  bool is_in_own_region{false};
};

/// \brief The homes of an object, as indexes into the candidates.
struct object_homes {
  /// The same servers at every node of a region, best first: requests for an object that no server holds meet
  /// there.
  std::vector<std::size_t> shared;
  /// The best server of the node's failure domain; the same at all nodes of that domain.
  std::optional<std::size_t> in_domain;
  /// The best server of the other regions, which relieves the shared homes while the own region is busier
  /// than others; the same at all nodes of the region. Empty if it is a shared home.
  std::optional<std::size_t> relief;
};

/// \brief   Ranks the candidates for an object by weighted rendezvous hashing.
/// \details The weights must be the same at all nodes of a region. If they depended on what a node learns,
/// each
///          node would have the object loaded at another server.
/// \param   shared_count The maximum number of shared homes.
[[nodiscard]] object_homes rank_homes(std::span<const home_candidate> candidates, std::uint64_t object,
                                      std::size_t shared_count);

}  // namespace zinnia
