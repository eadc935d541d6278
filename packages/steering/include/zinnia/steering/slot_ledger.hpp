// Exact counts of the slots that this node holds: no dispatch without a free slot, a lease and a holding.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/ids.hpp"
#include "zinnia/core/peer_messages.hpp"
#include "zinnia/core/reason.hpp"
#include "zinnia/core/units.hpp"
#include "zinnia/settings/service_settings.hpp"

namespace zinnia {

/// \brief An upstream as its holder has it.
struct held_upstream {
  upstream_id id;
  service_id service;
  std::int64_t slots{0};
  epoch held_since;
  /// Until then a former holder's requests may occupy every slot.
  time_point quarantined_until{};
  /// Being handed over, drained or withdrawn: no new requests.
  bool closed{false};
};

/// \brief What a backend server says of itself. Only ever lowers what is offered.
struct upstream_report {
  upstream_id id;
  bool reachable{true};
  bool leaving{false};
  /// Slots that it admits to offer.
  std::int64_t slots{0};
  /// Requests that it runs.
  std::int64_t in_use{0};
  /// When the probe was sent.
  time_point probed_at{};
};

/// \brief Permission to send one request to one upstream.
struct slot_grant {
  std::uint64_t ticket{0};
  upstream_id upstream;
  service_id service;
  epoch held_since;
};

/// \brief One request that asks for a slot.
struct slot_request {
  std::uint64_t waiter{0};
  service_id service;
  /// Came in by another region, so the reserve is not for it.
  bool from_elsewhere{false};
  time_point deadline{};
  /// False when another holder may have a free slot, so that waiting here would be too early.
  bool may_queue{true};
  /// An upstream that a former attempt of the same request should avoid.
  upstream_id avoid;
};

/// \brief The request waits in the queue.
struct slot_queued {};

/// \brief The request got no slot; it did not run.
struct slot_refusal {
  reason why{reason::none};
  /// When asking again makes sense.
  duration retry_after{0};
};

using slot_decision = std::variant<slot_grant, slot_queued, slot_refusal>;

/// \brief A queued request that was given a slot or refused.
struct slot_wakeup {
  std::uint64_t waiter{0};
  slot_decision decision;
};

/// \brief   Slots, queue and counts of one node.
/// \details Not thread safe. Invariants: for each upstream in_use <= slots; a grant is counted until it is
///          released; nothing is granted at or after `valid_until`.
class slot_ledger {
 public:
  /// \name Control
  /// \{
  void set_valid_until(time_point until) noexcept { this->valid_until = until; }
  void set_service(const service_id& service, const service_settings& values);
  /// \brief Replaces what is held; counts of upstreams that stay or are still in use are kept.
  void set_upstreams(const std::vector<held_upstream>& upstreams);
  void report(const upstream_report& report);
  /// \brief Wakes what can run now and refuses what is past its deadline.
  [[nodiscard]] std::vector<slot_wakeup> poll(time_point now);
  /// \}

  /// \name Traffic
  /// \{
  [[nodiscard]] slot_decision request(const slot_request& request, time_point now);
  /// \brief Ends a grant and hands the slot on.
  [[nodiscard]] std::vector<slot_wakeup> release(const slot_grant& grant, duration took, time_point now);
  void cancel(std::uint64_t waiter);
  /// \brief To be asked right before the first byte is sent.
  [[nodiscard]] bool may_send(const slot_grant& grant, time_point now) const;
  /// \}

  /// \name Figures
  /// \{
  [[nodiscard]] std::int64_t in_use(const service_id& service, const upstream_id& upstream) const;
  [[nodiscard]] bool is_quarantined(const service_id& service, const upstream_id& upstream,
                                    time_point now) const;
  [[nodiscard]] std::vector<service_load> loads(time_point now) const;
  [[nodiscard]] std::int64_t total_in_use() const;
  /// \}

 private:
  using upstream_key = std::pair<service_id, upstream_id>;

  struct upstream_state {
    held_upstream held;
    upstream_report last_report;
    /// Consecutive probes that showed no request but ours.
    int quiet_reports{0};
    std::int64_t in_use{0};
    bool withdrawn{false};
  };

  struct service_state {
    service_settings values;
    std::deque<slot_request> queue;
    duration service_time{20};
  };

  [[nodiscard]] std::int64_t free_slots(const upstream_state& upstream, time_point now) const;
  [[nodiscard]] std::int64_t open_slots(const upstream_state& upstream, time_point now) const;
  [[nodiscard]] service_load load_of(const service_id& service, time_point now) const;
  [[nodiscard]] upstream_state* pick(const slot_request& request, time_point now);
  [[nodiscard]] std::optional<slot_grant> try_grant(const slot_request& request, time_point now);
  [[nodiscard]] std::optional<slot_refusal> check_queue(const slot_request& request,
                                                        const service_state& service, time_point now) const;
  void wake(service_state& service, time_point now, std::vector<slot_wakeup>& woken);

  time_point valid_until{};
  std::uint64_t next_ticket{1};
  std::map<upstream_key, upstream_state> upstreams;
  std::map<service_id, service_state> services;
};

}  // namespace zinnia
