// Strong integer types for counts and versions, so that the compiler rejects mixing them.
#pragma once

#include <compare>
#include <cstdint>

namespace zinnia {

/// \brief An integer quantity. Each tag type makes a distinct type.
template <class Tag, class Rep = std::int64_t>
class strong_number {
 public:
  constexpr strong_number() noexcept = default;
  constexpr explicit strong_number(Rep initial) noexcept : number{initial} {}

  [[nodiscard]] constexpr Rep count() const noexcept { return this->number; }
  [[nodiscard]] constexpr strong_number next() const noexcept { return strong_number{this->number + 1}; }

  friend constexpr auto operator<=>(const strong_number&, const strong_number&) noexcept = default;

 private:
  Rep number{};
};

/// \brief The version of an object in the platform's store; 0 means that the object does not exist.
using object_version = strong_number<struct object_version_tag>;

/// \brief Version of the active configuration; increases with every accepted change.
using config_version = strong_number<struct config_version_tag, std::uint64_t>;

}  // namespace zinnia
