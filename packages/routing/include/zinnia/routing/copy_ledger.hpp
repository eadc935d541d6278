// When an object is worth a copy at a nearer backend server.
#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

namespace zinnia {

/// \brief   Collects, for each object, what requests have paid for the distance to its holder. Not
/// thread-safe.
///
/// \details A nearer copy costs one slow request. It is made once the object's requests have paid as much for
/// the
///          distance, so at most twice the least possible cost is paid, whatever the demand turns out to be.
///          The price varies from object to object, so that a change of the costs moves objects a few at a
///          time.
class copy_ledger {
 public:
  /// \brief Adds the cost of one request's distance, in ms.
  /// \param price Cost of making the copy, in ms.
  /// \return True if the object has paid for its copy; its account then starts anew.
  [[nodiscard]] bool pay(std::uint64_t object, double cost_ms, double price);
  [[nodiscard]] std::size_t size() const noexcept { return this->paid_ms.size(); }

 private:
  absl::flat_hash_map<std::uint64_t, double> paid_ms;
};

}  // namespace zinnia
