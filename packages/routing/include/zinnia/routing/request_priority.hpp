// The order in which requests get room.
#pragma once

#include <compare>

namespace zinnia {

/// \brief   The urgency of a request; a lesser value is more urgent.
/// \details The account's priority is compared first. It is 0 if no accounts are configured.
struct request_priority {
  int of_account{0};
  int of_route{0};

  friend auto operator<=>(const request_priority&, const request_priority&) = default;
};

}  // namespace zinnia
