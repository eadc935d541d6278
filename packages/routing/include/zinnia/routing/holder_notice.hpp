// What nodes tell each other about the objects that backend servers hold.
#pragma once

#include <cstdint>

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief A node has sent a request for an object to a backend server, which holds the object afterwards.
struct holder_notice {
  /// Hash of the object.
  std::uint64_t object{0};
  /// Hash of the backend server's id.
  std::uint64_t backend{0};
  /// Time until the server has loaded the object; 0 if it held the object before.
  duration loads_for{0};

  friend bool operator==(const holder_notice&, const holder_notice&) = default;
};

}  // namespace zinnia
