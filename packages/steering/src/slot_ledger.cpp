// Granting, queueing and releasing of slots.
#include "zinnia/steering/slot_ledger.hpp"

#include <algorithm>

namespace zinnia {
namespace impl {
namespace {

/// A report counts towards the end of a quarantine only this long after the upstream was taken over.
constexpr int quiet_reports_to_trust = 2;
constexpr std::int64_t percent = 100;
/// Weight of the newest sample in the smoothed service time, as a fraction of this.
constexpr std::int64_t smoothing = 8;
constexpr duration shortest_retry_after{50};

[[nodiscard]] std::int64_t round_up_percent(std::int64_t whole, std::int64_t share) {
  return (whole * share + percent - 1) / percent;
}

}  // namespace
}  // namespace impl

void slot_ledger::set_service(const service_id& service, const service_settings& values) {
  this->services[service].values = values;
}

void slot_ledger::set_upstreams(const std::vector<held_upstream>& held) {
  for (auto& [key, state] : this->upstreams) {
    state.withdrawn = true;
  }
  for (const auto& upstream : held) {
    auto& state = this->upstreams[{upstream.service, upstream.id}];
    if (state.held.held_since != upstream.held_since) {
      state.quiet_reports = 0;
    }
    state.held = upstream;
    state.withdrawn = false;
  }
  std::erase_if(this->upstreams,
                [](const auto& entry) { return entry.second.withdrawn && entry.second.in_use == 0; });
}

void slot_ledger::report(const upstream_report& report) {
  for (auto& [key, state] : this->upstreams) {
    if (key.second != report.id) {
      continue;
    }
    state.last_report = report;
    const bool quiet = report.reachable && report.in_use <= state.in_use;
    state.quiet_reports = quiet ? state.quiet_reports + 1 : 0;
  }
}

std::int64_t slot_ledger::open_slots(const upstream_state& upstream, time_point now) const {
  const auto& report = upstream.last_report;
  const bool reported = report.probed_at.ms != 0;
  const bool refuses = reported && (!report.reachable || report.leaving);
  if (upstream.withdrawn || upstream.held.closed || refuses) {
    return 0;
  }
  const bool quiet = upstream.quiet_reports >= impl::quiet_reports_to_trust;
  if (now < upstream.held.quarantined_until && !quiet) {
    return 0;
  }
  return reported ? std::min(upstream.held.slots, report.slots) : upstream.held.slots;
}

std::int64_t slot_ledger::free_slots(const upstream_state& upstream, time_point now) const {
  return std::max<std::int64_t>(0, this->open_slots(upstream, now) - upstream.in_use);
}

slot_ledger::upstream_state* slot_ledger::pick(const slot_request& request, time_point now) {
  upstream_state* best = nullptr;
  std::int64_t best_score = 0;
  for (auto at = this->upstreams.lower_bound({request.service, upstream_id{}});
       at != this->upstreams.end() && at->first.first == request.service; ++at) {
    const auto free = this->free_slots(at->second, now);
    const bool avoided = at->first.second == request.avoid;
    // An avoided upstream still wins over none at all.
    const auto score = free == 0 ? 0 : (avoided ? 1 : free * 2);
    if (score > best_score) {
      best = &at->second;
      best_score = score;
    }
  }
  return best;
}

std::optional<slot_grant> slot_ledger::try_grant(const slot_request& request, time_point now) {
  if (request.from_elsewhere) {
    const auto load = this->load_of(request.service, now);
    const auto reserve_percent = this->services.at(request.service).values.reserve_percent;
    if (load.slots_free <= impl::round_up_percent(load.slots_total, reserve_percent)) {
      return std::nullopt;
    }
  }
  auto* const upstream = this->pick(request, now);
  if (upstream == nullptr) {
    return std::nullopt;
  }
  ++upstream->in_use;
  return slot_grant{this->next_ticket++, upstream->held.id, request.service, upstream->held.held_since};
}

std::optional<slot_refusal> slot_ledger::check_queue(const slot_request& request,
                                                     const service_state& service, time_point now) const {
  const auto load = this->load_of(request.service, now);
  if (load.slots_total == 0) {
    return slot_refusal{reason::no_holder, impl::shortest_retry_after};
  }
  const auto queued = static_cast<std::int64_t>(service.queue.size());
  const duration wait{(queued + 1) * service.service_time.ms / load.slots_total};
  const duration retry_after = std::max(wait, impl::shortest_retry_after);
  if (request.from_elsewhere) {
    return slot_refusal{reason::reserve_kept, retry_after};
  }
  if (!request.may_queue) {
    return slot_refusal{reason::slots_busy, retry_after};
  }
  if (queued >= service.values.queue_limit) {
    return slot_refusal{reason::queue_full, retry_after};
  }
  if (now + wait + service.service_time > request.deadline) {
    return slot_refusal{reason::wait_exceeds_deadline, retry_after};
  }
  return std::nullopt;
}

slot_decision slot_ledger::request(const slot_request& request, time_point now) {
  const auto found = this->services.find(request.service);
  if (found == this->services.end()) {
    return slot_refusal{reason::unknown_service, {}};
  }
  if (now >= this->valid_until) {
    return slot_refusal{reason::term_lapsed, impl::shortest_retry_after};
  }
  if (now >= request.deadline) {
    return slot_refusal{reason::deadline_passed, {}};
  }
  auto& service = found->second;
  // Nobody overtakes the queue, or a steady stream of newcomers would starve it.
  if (service.queue.empty()) {
    if (auto grant = this->try_grant(request, now)) {
      return *grant;
    }
  }
  if (auto refusal = this->check_queue(request, service, now)) {
    return *refusal;
  }
  service.queue.push_back(request);
  return slot_queued{};
}

void slot_ledger::wake(service_state& service, time_point now, std::vector<slot_wakeup>& woken) {
  std::erase_if(service.queue, [&](const slot_request& waiting) {
    if (now < waiting.deadline) {
      return false;
    }
    woken.push_back({waiting.waiter, slot_refusal{reason::deadline_passed, {}}});
    return true;
  });
  while (!service.queue.empty() && now < this->valid_until) {
    auto grant = this->try_grant(service.queue.front(), now);
    if (!grant) {
      return;
    }
    woken.push_back({service.queue.front().waiter, *grant});
    service.queue.pop_front();
  }
}

std::vector<slot_wakeup> slot_ledger::poll(time_point now) {
  std::vector<slot_wakeup> woken;
  for (auto& [id, service] : this->services) {
    this->wake(service, now, woken);
  }
  return woken;
}

std::vector<slot_wakeup> slot_ledger::release(const slot_grant& grant, duration took, time_point now) {
  std::vector<slot_wakeup> woken;
  const auto found = this->upstreams.find({grant.service, grant.upstream});
  if (found == this->upstreams.end()) {
    return woken;
  }
  --found->second.in_use;
  if (found->second.withdrawn && found->second.in_use == 0) {
    this->upstreams.erase(found);
  }
  auto& service = this->services[grant.service];
  const auto smoothed = service.service_time.ms * (impl::smoothing - 1) + took.ms;
  service.service_time = duration{std::max<std::int64_t>(1, smoothed / impl::smoothing)};
  this->wake(service, now, woken);
  return woken;
}

void slot_ledger::cancel(std::uint64_t waiter) {
  for (auto& [id, service] : this->services) {
    std::erase_if(service.queue, [waiter](const slot_request& entry) { return entry.waiter == waiter; });
  }
}

bool slot_ledger::may_send(const slot_grant& grant, time_point now) const {
  const auto found = this->upstreams.find({grant.service, grant.upstream});
  const bool held = found != this->upstreams.end() && !found->second.withdrawn &&
                    found->second.held.held_since == grant.held_since;
  return held && now < this->valid_until;
}

std::int64_t slot_ledger::in_use(const service_id& service, const upstream_id& upstream) const {
  const auto found = this->upstreams.find({service, upstream});
  return found == this->upstreams.end() ? 0 : found->second.in_use;
}

bool slot_ledger::is_quarantined(const service_id& service, const upstream_id& upstream,
                                 time_point now) const {
  const auto found = this->upstreams.find({service, upstream});
  return found != this->upstreams.end() && now < found->second.held.quarantined_until;
}

service_load slot_ledger::load_of(const service_id& service, time_point now) const {
  service_load load;
  load.service = service;
  for (auto at = this->upstreams.lower_bound({service, upstream_id{}});
       at != this->upstreams.end() && at->first.first == service; ++at) {
    load.slots_total += static_cast<std::int32_t>(this->open_slots(at->second, now));
    load.slots_free += static_cast<std::int32_t>(this->free_slots(at->second, now));
  }
  const auto found = this->services.find(service);
  if (found != this->services.end()) {
    load.queued = static_cast<std::int32_t>(found->second.queue.size());
    load.service_time_ms = static_cast<std::int32_t>(found->second.service_time.ms);
  }
  return load;
}

std::vector<service_load> slot_ledger::loads(time_point now) const {
  std::vector<service_load> all;
  for (const auto& [id, service] : this->services) {
    all.push_back(this->load_of(id, now));
  }
  return all;
}

std::int64_t slot_ledger::total_in_use() const {
  std::int64_t sum = 0;
  for (const auto& [key, state] : this->upstreams) {
    sum += state.in_use;
  }
  return sum;
}

}  // namespace zinnia
