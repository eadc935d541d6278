// The client side of the change relay: polls another node for the store's changes.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/membership/member_table.hpp"
#include "zinnia/store/async_http_client.hpp"
#include "zinnia/store/change_relay_buffer.hpp"
#include "zinnia/store/object_feed.hpp"

namespace zinnia {

/// \brief The HTTP path at which nodes poll each other for changes: `?known=V,V,...&wait_ms=N`.
inline constexpr const char* change_relay_path = "/v1/changes";

/// \brief   Polls a source node for changes, one call at a time. Not thread safe.
/// \details The owner chooses the source, and watches the store itself when the source fails.
class change_relay_client {
 public:
  struct event_handlers {
    /// Returns, for each kind, the version up to which this node knows all changes.
    std::function<std::vector<object_version>()> known_versions;
    /// The confirmation is what the source's proof means on this node's clock; empty if the source states
    /// none.
    std::function<void(const std::vector<feed_reply>&, const std::optional<confirmed_configuration>&)>
        on_changes;
    /// The source is unreachable, responded with an error or sent an invalid body.
    std::function<void(const std::string& cause)> on_source_failure;
  };

  /// \param confirms This node needs proofs, so the source must not hold a call for long.
  change_relay_client(async_http_client& calls_in, event_handlers handlers_in, bool confirms)
      : calls{calls_in}, handlers{std::move(handlers_in)}, needs_confirmation{confirms} {}

  /// \brief Sets the node to poll; `nullopt` stops polling. Cancels a call to another source.
  void set_source(const std::optional<member>& source_in);
  /// \brief Starts a call to the source if one is due.
  /// \param may_hold Allows the source to hold the call until there are changes.
  void poll(time_point now, bool may_hold);
  [[nodiscard]] bool is_following() const noexcept { return this->source.has_value(); }
  [[nodiscard]] time_point next_poll_at() const noexcept;

 private:
  void on_response(const http_response& response);

  async_http_client& calls;
  event_handlers handlers;
  std::optional<member> source;
  bool needs_confirmation;
  async_http_client::call_id call{0};
  bool call_active{false};
  // What the call in progress says that this node knows.
  std::vector<object_version> named_versions;
  // When the call in progress was sent.
  time_point polled_at;
  time_point earliest_poll;
};

}  // namespace zinnia
