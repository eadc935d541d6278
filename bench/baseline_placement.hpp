// The placement policies that the production placement is compared with.
#pragma once

#include <random>

#include "simulation.hpp"

namespace zinnia::bench {

/// \brief Returns true if the policy places requests with the production code and its knowledge of objects.
[[nodiscard]] constexpr bool uses_homes(policy selected_policy) noexcept {
  return selected_policy == policy::zinniafield || selected_policy == policy::one_home;
}

/// \brief Places a request under `random`, `least_load` or `two_choices`; refuses it if no server is
/// eligible.
[[nodiscard]] placement_decision choose_baseline(policy selected_policy, const backend_table& table,
                                                 const service_id& service, time_point now,
                                                 std::mt19937_64& random);

}  // namespace zinnia::bench
