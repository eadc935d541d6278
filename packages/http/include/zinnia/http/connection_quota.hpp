// How the listeners of a process share its file descriptors.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace zinnia {

/// \brief   Connections that all listeners of a process may have together. Not thread-safe.
/// \details Each listener always gets the number that is reserved for it. What is reserved and not in use is
///          kept free, so that one listener's callers cannot take the descriptors of another's.
class connection_quota {
 public:
  explicit connection_quota(std::size_t max_connections_in) : max_connections{max_connections_in} {}

  /// \brief Adds a listener and returns its number.
  [[nodiscard]] std::size_t add_listener(std::size_t reserved) {
    this->shares.push_back({reserved, 0});
    return this->shares.size() - 1;
  }
  /// \brief Returns true if the listener may have one more connection.
  [[nodiscard]] bool has_room(std::size_t listener) const noexcept {
    const auto& own = this->shares.at(listener);
    if (own.open < own.reserved) {
      return true;
    }
    std::size_t taken = 0;
    for (const auto& share : this->shares) {
      taken += std::max(share.open, share.reserved);
    }
    return taken < this->max_connections;
  }
  void set_open(std::size_t listener, std::size_t open) noexcept { this->shares.at(listener).open = open; }

 private:
  struct listener_share {
    std::size_t reserved{0};
    std::size_t open{0};
  };

  std::size_t max_connections;
  std::vector<listener_share> shares;
};

}  // namespace zinnia
