// Divides what the platform allows the process.
#include "listener_limits.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>

namespace zinnia {
namespace impl {
namespace {

/// File descriptors reserved for files and for connections to backend servers and to the store.
constexpr std::size_t reserved_descriptors = 1200;
/// Reserved for the program and its tables, but not more than a quarter of the memory.
constexpr std::size_t program_memory = 24'000'000;
/// With less, ordinary requests would wait for several round trips.
constexpr std::size_t min_receive_window = 8 << 10;

/// A listener and the fraction of all connections that is reserved for it: one over this number.
struct listener_share {
  http_listener& listener;
  std::size_t divisor;
  bool keeps_bodies;
};

/// The memory of the machine, in bytes; 0 if the system does not tell.
[[nodiscard]] std::size_t machine_memory() noexcept {
  const auto pages = sysconf(_SC_PHYS_PAGES);
  const auto page_size = sysconf(_SC_PAGESIZE);
  return pages > 0 && page_size > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_size)
                                    : 0;
}

/// Returns the memory that is left for what callers send and get, in bytes.
[[nodiscard]] std::size_t memory_for_callers(const node_settings& settings) noexcept {
  const auto machine = machine_memory();
  const auto usable = machine == 0 ? settings.memory_limit : std::min(settings.memory_limit, machine);
  return usable - std::min(usable / 4, program_memory);
}

}  // namespace
}  // namespace impl

std::size_t max_accepted_connections(const node_settings& settings) noexcept {
  return settings.max_descriptors - std::min(settings.max_descriptors / 2, impl::reserved_descriptors);
}

std::size_t request_memory_limit(const node_settings& settings) noexcept {
  return impl::memory_for_callers(settings) * 9 / 16;
}

std::size_t receive_window(const node_settings& settings) noexcept {
  return std::clamp(impl::memory_for_callers(settings) / 6 / max_accepted_connections(settings),
                    impl::min_receive_window, connection_resources::max_receive_window);
}

void share_limits(const node_listeners& listeners, const node_settings& settings, memory_budget& memory,
                  connection_quota& quota) {
  const std::array<impl::listener_share, 6> shares{{{listeners.callers, 2, true},
                                                    {listeners.readiness, 64, false},
                                                    {listeners.directory, 8, false},
                                                    {listeners.operators, 64, false},
                                                    {listeners.peers, 16, false},
                                                    {listeners.forwarded, 8, true}}};
  const auto all = max_accepted_connections(settings);
  for (const auto& share : shares) {
    caller_limits limits;
    limits.keeps_bodies = share.keeps_bodies;
    share.listener.set_limits(limits);
    share.listener.set_resources({&memory, receive_window(settings)});
    share.listener.set_connection_quota(quota, all / share.divisor);
  }
}

}  // namespace zinnia
