// Strong integer types for counts and versions that must not be mixed.
#pragma once

#include <compare>
#include <cstdint>

namespace zinnia {

/// \brief An integer quantity whose unit is fixed by its tag type.
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

/// \brief Version of an object in the platform's store; 0 means "does not exist".
using object_version = strong_number<struct object_version_tag>;

}  // namespace zinnia
