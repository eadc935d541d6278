// How a node's listeners share its memory and its file descriptors.
#pragma once

#include <cstddef>

#include "zinnia/http/connection_quota.hpp"
#include "zinnia/http/http_listener.hpp"
#include "zinnia/http/memory_budget.hpp"
#include "zinnia/node/node_settings.hpp"

namespace zinnia {

/// \brief All listeners of a node.
struct node_listeners {
  http_listener& callers;
  http_listener& readiness;
  http_listener& directory;
  http_listener& operators;
  http_listener& peers;
  http_listener& forwarded;
};

/// \brief Connection limit of the readiness, operator and peer listeners, each.
inline constexpr std::size_t max_internal_connections = 200;
/// \brief Connection limit of the directory listener.
inline constexpr std::size_t max_directory_connections = 800;

/// \brief The number of connections that all listeners of a node may have together.
[[nodiscard]] std::size_t max_accepted_connections(const node_settings& settings) noexcept;

/// \brief   The bytes that may arrive on a connection and not be read yet.
/// \details All connections together may hold a sixth of the memory for callers so: that of the process, or
///          of its machine if that has less, without a reserve for the program.
[[nodiscard]] std::size_t receive_window(const node_settings& settings) noexcept;

/// \brief   The memory that connections, requests and responses may take, in bytes.
/// \details Nine sixteenths of the memory for callers. Responses may exceed it by a quarter. The rest is for
///          what has arrived and was not read, and for what the allocator cannot reuse.
[[nodiscard]] std::size_t request_memory_limit(const node_settings& settings) noexcept;

/// \brief Sets the limits that all listeners share. Those that use no bodies keep none.
void share_limits(const node_listeners& listeners, const node_settings& settings, memory_budget& memory,
                  connection_quota& quota);

}  // namespace zinnia
