// Leases by heir and store: how long a holder may continue and when its heir may take over.
#pragma once

#include <cstdint>
#include <map>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief   Time spans of leases.
/// \details Invariant: heartbeat < term / 2, so that one lost heartbeat does not end a term.
struct lease_terms {
  duration heartbeat{500};
  duration term{4000};
  /// Bound on how far two clocks drift apart within one term.
  duration drift{200};
};

/// \brief   The holder's side: how long it may dispatch.
/// \details A term counts from when the renewal was sent, never from when its answer came.
class holder_lease {
 public:
  explicit holder_lease(lease_terms lease) noexcept : terms{lease} {}

  /// \brief The heir answered the heartbeat sent at `sent`, or the store took the renewal sent then.
  void renewed(time_point sent) noexcept;
  /// \brief Nobody can take over, as there is no heir; the lease does not end by time.
  void set_unopposed(bool value) noexcept { this->unopposed = value; }
  /// \brief Drops the lease, for example when the table shows another incarnation.
  void revoke() noexcept { this->until = time_point{}; }
  /// \brief The holder must not dispatch at or after this moment.
  [[nodiscard]] time_point valid_until() const noexcept;

 private:
  lease_terms terms;
  time_point until{};
  bool unopposed{false};
};

/// \brief   The heir's side for one holder.
/// \details The heir may release the holder only when its own promise has lapsed and no renewal through the
///          store was seen for a term. A takeover needs the release of every heir.
class heir_watch {
 public:
  /// \param since When this node learned that it is the heir: a former heir's promise may still hold.
  heir_watch(lease_terms lease, time_point since) noexcept
      : terms{lease}, promised_until{since + lease.term + lease.drift}, renewal_seen_at{since} {}

  /// \brief Records a promise given at `now`.
  void promise(time_point now) noexcept;
  /// \brief Records the holder's renewal counter as read from the table.
  void observe_renewal(time_point now, std::int64_t renewal) noexcept;
  [[nodiscard]] bool may_release(time_point now) const noexcept;

 private:
  lease_terms terms;
  time_point promised_until;
  time_point renewal_seen_at;
  std::int64_t last_renewal{-1};
};

}  // namespace zinnia
