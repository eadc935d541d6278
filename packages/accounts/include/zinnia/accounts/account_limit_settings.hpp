// How exactly the limits of client accounts have to be kept.
#pragma once

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief   The tolerance of limits.
/// \details In any window, the requests of an account at all nodes together may exceed its rate times the
///          window plus its burst by the factor 1 + `overage`, and by `slack` requests on top.
struct account_limit_settings {
  duration window{5000};
  double overage{0};
  double slack{0};
};

}  // namespace zinnia
