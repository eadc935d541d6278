// When an object is worth a copy at another backend server.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

namespace zinnia {

/// \brief   Collects what the requests for each object have paid for distance and load. Not thread-safe.
///
/// \details A copy costs one slow request, and memory of a server. It is made once the object's requests have
///          paid a multiple of that price. The multiple varies from object to object, so that a change of the
///          costs moves objects a few at a time.
class copy_ledger {
 public:
  /// \brief Adds what one request would have saved with the copy, in ms.
  /// \param price Cost of making the copy, in ms.
  /// \return True if the object has paid for its copy; its account then starts anew.
  [[nodiscard]] bool pay(std::uint64_t object, double cost_ms, double price);
  [[nodiscard]] std::size_t size() const noexcept { return this->paid_ms.size(); }

 private:
  absl::flat_hash_map<std::uint64_t, double> paid_ms;
};

}  // namespace zinnia
