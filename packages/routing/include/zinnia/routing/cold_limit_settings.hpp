// The bound on requests to a cold backend server.
#pragma once

namespace zinnia {

/// \brief In any second, all nodes together may send a cold server its declared rate times `overage` plus
///        `slack` requests.
struct cold_limit_settings {
  double overage{1};
  double slack{0};
};

}  // namespace zinnia
