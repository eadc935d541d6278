// Names of judgements.
#include "zinnia/routing/crash_judgement.hpp"

#include <array>
#include <cstddef>

namespace zinnia {
namespace impl {
namespace {

constexpr std::array<std::string_view, 4> judgement_names{"raised", "not-higher", "bystander", "answered"};

}  // namespace
}  // namespace impl

std::string_view to_string(crash_judgement value) noexcept {
  return impl::judgement_names.at(static_cast<std::size_t>(value));
}

}  // namespace zinnia
