// Tells whether this node has lost its links to all backend servers.
#pragma once

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief Whether this node can reach backend servers.
class link_monitor {
 public:
  void set_lost(bool lost_in) noexcept { this->lost = lost_in; }
  /// \brief Returns true if no backend server can be reached from this node.
  [[nodiscard]] bool is_lost(time_point /*now*/) const noexcept { return this->lost; }

 private:
  bool lost{false};
};

}  // namespace zinnia
