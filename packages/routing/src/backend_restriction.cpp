// Lists the restrictions of backend servers and names their kinds.
#include "zinnia/routing/backend_restriction.hpp"

#include <algorithm>
#include <array>

#include "zinnia/routing/backend_table.hpp"

namespace zinnia {
namespace impl {
namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(restriction_kind::count)> restriction_names{
    "suspended", "draining", "leaving", "busy", "limited", "evacuated", "drained-by-shift", "recovering"};
static_assert(!restriction_names.back().empty(), "every kind has a name");

[[nodiscard]] duration time_until(time_point at, time_point now) noexcept {
  return std::max(at - now, duration{0});
}

}  // namespace
}  // namespace impl

std::string_view to_string(restriction_kind value) noexcept {
  return impl::restriction_names.at(static_cast<std::size_t>(value));
}

std::vector<backend_restriction> backend_table::restrictions(time_point now) const {
  std::vector<backend_restriction> found;
  for (const auto& backend : this->backend_list) {
    const auto& declared = backend->declared();
    const auto add = [&](restriction_kind kind, std::optional<duration> remaining = std::nullopt) {
      found.push_back({declared.id, declared.service, declared.domain, kind, remaining});
    };
    if (backend->is_suspended()) {
      add(restriction_kind::suspended, impl::time_until(backend->next_health_check_at(), now));
    }
    if (declared.mode == backend_mode::draining) {
      add(restriction_kind::draining);
    }
    if (backend->is_leaving()) {
      add(restriction_kind::leaving);
    }
    if (backend->is_busy(now)) {
      add(restriction_kind::busy, impl::time_until(backend->busy_end(), now));
    }
    if (const auto limit = backend->rate_limit()) {
      add(restriction_kind::limited);
      found.back().limit_per_second = *limit;
      found.back().share_per_second = backend->rate_of_this_node();
    }
    if (this->evacuated.contains(declared.domain)) {
      add(restriction_kind::evacuated);
    }
    if (this->shifts.closed_backends.contains(declared.id)) {
      add(restriction_kind::drained_by_shift);
    }
    if (backend->recovery().is_active()) {
      add(restriction_kind::recovering);
      found.back().recovery_limit = backend->recovery().limit();
      found.back().recovering_for = impl::time_until(now, backend->recovery().began_at());
    }
  }
  return found;
}

}  // namespace zinnia
