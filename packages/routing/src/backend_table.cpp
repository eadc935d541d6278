// Placement by object affinity, waiting time, distance and transfer cost.
#include "zinnia/routing/backend_table.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "zinnia/core/rendezvous.hpp"
#include "zinnia/routing/rendezvous_score.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Round trips assumed until a connection to the failure domain has been timed.
constexpr double same_domain_round_trip_ms = 1;
constexpr double same_region_round_trip_ms = 2;
constexpr double other_region_round_trip_ms = 60;
/// Weight of the newest measurement in the moving average of the round trip.
constexpr double round_trip_ewma_weight = 0.3;
/// Utilisation of a service below which objects may spill over to servers other than their homes. Above it
/// the extra misses would cause further misses.
constexpr double max_spillover_utilisation = 0.6;
/// The number of servers that are remembered after they have left.
constexpr std::size_t max_departed = 4096;
/// Bounds of the retry delay that a refused caller receives.
constexpr duration min_retry_after{50};
constexpr duration max_retry_after{1000};

[[nodiscard]] duration to_duration(double ms) noexcept {
  return {static_cast<std::int64_t>(std::llround(ms))};
}

}  // namespace
}  // namespace impl

void backend_table::apply(const routing_snapshot& snapshot, time_point now) {
  std::map<service_id, service_group> next_services;
  for (const auto& [id, declaration] : snapshot.services) {
    auto& group = next_services[id];
    group.declaration = declaration;
    if (snapshot.tree != nullptr) {
      group.settings = to_placement_settings(
          snapshot.tree->effective(id, this->own_location.region, this->own_location.domain).values);
    }
    if (const auto known = this->services.find(id); known != this->services.end()) {
      group.mean_slot_time_ms = known->second.mean_slot_time_ms;
      group.slot_time_samples = known->second.slot_time_samples;
      group.mean_slowness = known->second.mean_slowness;
    }
  }
  for (const auto& domain : this->evacuated) {
    if (!snapshot.evacuated.contains(domain)) {
      // The servers may have become cold during the evacuation; a health check reports that.
      for (const auto& [id, backend] : this->backends) {
        if (backend->declared().domain == domain) {
          backend->suspend(duration{0}, now);
        }
      }
    }
  }
  if (snapshot.regions != nullptr) {
    this->regions_by_domain = *snapshot.regions;
  }
  this->evacuated = snapshot.evacuated;
  this->shifts = snapshot.shifts;
  std::map<backend_id, std::shared_ptr<backend_state>> next_backends;
  std::map<failure_domain_id, std::size_t> domain_positions;
  this->domains.clear();
  this->backend_list.clear();
  this->backends_by_hash.clear();
  // Servers that were there before this node need no recovery.
  const bool is_first = this->backends.empty();
  for (const auto& [id, declaration] : snapshot.backends) {
    auto& backend = next_backends[id];
    bool starts = false;
    if (const auto known = this->backends.find(id); known != this->backends.end()) {
      backend = known->second;
      const auto started = backend->declared().started_unix_ms;
      backend->update_declaration(declaration);
      starts = started != declaration.started_unix_ms && started != 0;
    } else {
      backend = std::make_shared<backend_state>(declaration);
      starts = !is_first;
      const auto gone = this->departed.find(id);
      if (gone != this->departed.end() && gone->second == declaration.started_unix_ms) {
        backend->set_leaving();
      }
    }
    this->set_recovery(next_services, *backend, starts, now);
    this->backend_list.push_back(backend);
    this->backends_by_hash[backend->hash()] = backend;
    const auto [position, is_new] = domain_positions.try_emplace(declaration.domain, this->domains.size());
    if (is_new) {
      this->domains.push_back({declaration.domain, this->region_of(declaration.domain)});
    }
    if (const auto group = next_services.find(declaration.service); group != next_services.end()) {
      group->second.members.push_back({backend, position->second});
    }
  }
  for (auto& [id, group] : next_services) {
    this->apply_settings(group);
  }
  this->remember_departed(next_backends);
  this->services = std::move(next_services);
  this->backends = std::move(next_backends);
}

void backend_table::remember_departed(const std::map<backend_id, std::shared_ptr<backend_state>>& next) {
  for (const auto& [id, backend] : this->backends) {
    if (backend->is_leaving() && !next.contains(id)) {
      this->departed[id] = backend->declared().started_unix_ms;
    }
  }
  while (this->departed.size() > impl::max_departed) {
    this->departed.erase(this->departed.begin());
  }
}

void backend_table::set_nodes(const std::map<node_id, location>& alive,
                              const std::set<region_id>& regions_with_nodes, const node_id& self,
                              time_point now, std::size_t registered_serving) {
  for (const auto& backend : this->backend_list) {
    const auto& id = backend->declared().id;
    const location backend_location{backend->declared().domain, this->region_of(backend->declared().domain)};
    // Pairs compare by proximity, then by a hash that is the same at all nodes.
    const auto precedence = [&](const node_id& node, const location& where) {
      const int proximity = where.domain == backend_location.domain   ? 2
                            : where.region == backend_location.region ? 1
                                                                      : 0;
      return std::pair{proximity, rendezvous_weight(node.str(), id.str())};
    };
    const auto own = alive.find(self);
    const auto own_precedence =
        own == alive.end() ? std::pair<int, std::uint64_t>{-1, 0} : precedence(self, own->second);
    node_standing standing;
    standing.phase = rendezvous_weight(self.str(), id.str());
    standing.serving_count = std::max<std::size_t>({alive.size(), registered_serving, 1});
    std::size_t in_region = 0;
    for (const auto& [node, where] : alive) {
      const auto other = precedence(node, where);
      standing.rank += node != self && other > own_precedence ? 1 : 0;
      in_region += other.first > 0 ? 1 : 0;
    }
    const bool region_has_nodes = regions_with_nodes.contains(backend_location.region);
    standing.near_count = region_has_nodes ? in_region : alive.size();
    const bool warmed_by_own_region =
        region_has_nodes && backend_location.region != this->own_location.region;
    backend->is_warmed_by_this_node = !warmed_by_own_region && own != alive.end() && standing.rank == 0;
    backend->set_standing(standing, now);
  }
}

region_id backend_table::region_of(const failure_domain_id& domain) const {
  const auto found = this->regions_by_domain.find(domain);
  return found == this->regions_by_domain.end() ? region_id{} : found->second;
}

duration backend_table::round_trip(const backend_state& backend) const {
  return this->round_trip_to(backend.declared().domain);
}

duration backend_table::round_trip_to(const failure_domain_id& domain) const {
  if (const auto timed = this->round_trip_ms_by_domain.find(domain);
      timed != this->round_trip_ms_by_domain.end()) {
    return impl::to_duration(timed->second);
  }
  if (domain == this->own_location.domain) {
    return impl::to_duration(impl::same_domain_round_trip_ms);
  }
  return impl::to_duration(this->region_of(domain) == this->own_location.region
                               ? impl::same_region_round_trip_ms
                               : impl::other_region_round_trip_ms);
}

void backend_table::record_round_trip(const backend_state& backend, duration took) {
  const auto sample = static_cast<double>(took.ms);
  auto& known = this->round_trip_ms_by_domain.try_emplace(backend.declared().domain, sample).first->second;
  known += (sample - known) * impl::round_trip_ewma_weight;
}

work_estimate& backend_table::estimate(const route& matched_route, const service_id& service) {
  return this->estimates.try_emplace(service.str() + matched_route.prefix, matched_route.target_latency)
      .first->second;
}

bool backend_table::is_withdrawn(const backend_state& backend) const {
  const auto& declared = backend.declared();
  return backend.is_suspended() || backend.is_leaving() || declared.mode != backend_mode::ready ||
         this->evacuated.contains(declared.domain) || this->shifts.closed_backends.contains(declared.id);
}

bool backend_table::is_in_use(const backend_state& backend, time_point now) const {
  return !this->is_withdrawn(backend) && !backend.is_busy(now);
}

bool backend_table::is_eligible(const backend_state& backend, time_point now) const {
  if (this->is_withdrawn(backend) || !backend.admits_after_busy(now) || !backend.within_rate_limit(now)) {
    return false;
  }
  if (!backend.recovery().admits(backend.load(now), now)) {
    return false;
  }
  if (!backend.is_cold(now)) {
    return true;
  }
  const auto* const service = this->service(backend.declared().service);
  return backend.is_warmed_by_this_node && service != nullptr &&
         backend.within_cold_rate(this->cold_rate(backend, *service), now);
}

backend_table::request_context backend_table::make_context(const service_group& group,
                                                           const placement_request& request, time_point now) {
  request_context context{request, this->estimate(*request.matched_route, request.service), now, {}};
  context.domains.reserve(this->domains.size());
  for (const auto& domain : this->domains) {
    domain_costs& costs = context.domains.emplace_back();
    costs.allowed = request.regions.allows(domain.region);
    costs.round_trip_ms = static_cast<double>(this->round_trip_to(domain.id).ms);
    costs.transfer_ms = this->transfer_cost(group, domain, context.estimate.response_kib());
    costs.stable_transfer_ms = this->transfer_cost(group, domain, context.estimate.stable_response_kib());
    costs.is_own_domain = domain.id == this->own_location.domain;
    costs.is_own_region = domain.region == this->own_location.region;
    costs.slot_weight = group.slot_weights[context.domains.size() - 1];
  }
  return context;
}

backend_table::member_list backend_table::eligible_members(const service_group& group,
                                                           const request_context& context) const {
  const auto* const tried = context.request.tried;
  member_list found;
  for (const auto& member : group.members) {
    const bool untried = tried == nullptr || std::find(tried->begin(), tried->end(),
                                                       member.backend->declared().id) == tried->end();
    if (context.domains[member.domain].allowed && untried &&
        this->is_eligible(*member.backend, context.now)) {
      found.push_back(&member);
    }
  }
  return found;
}

void backend_table::apply_traffic_moves(const placement_request& request, member_list& among) const {
  const auto found = this->shifts.moves.find({request.service, this->own_location.region});
  if (found == this->shifts.moves.end()) {
    return;
  }
  constexpr std::uint64_t percent = 100;
  auto position = static_cast<std::int64_t>(request.object.value_or(request.request_hash) % percent);
  for (const auto& traffic_share : found->second) {
    position -= traffic_share.percent;
    if (position >= 0) {
      continue;
    }
    member_list target_members;
    std::copy_if(among.begin(), among.end(), std::back_inserter(target_members), [&](const auto* member) {
      return this->domains[member->domain].region == traffic_share.to;
    });
    if (!target_members.empty()) {
      among = std::move(target_members);
    }
    return;
  }
}

double backend_table::transfer_cost(const service_group& group, const domain_entry& domain,
                                    double kib) const {
  if (domain.id == this->own_location.domain) {
    return 0;
  }
  const double ms_per_kib = domain.region == this->own_location.region
                                ? group.settings.domain_transfer_ms_per_kib
                                : group.settings.region_transfer_ms_per_kib;
  return ms_per_kib * kib;
}

placement_decision backend_table::refuse(reason refusal_reason, duration retry_after, int candidates) const {
  placement_decision decision;
  decision.refusal_reason = refusal_reason;
  decision.retry_after = std::clamp(retry_after, impl::min_retry_after, impl::max_retry_after);
  decision.candidates = candidates;
  return decision;
}

placement_decision backend_table::refuse_without_backend(const service_group& group,
                                                         const request_context& context) const {
  auto eligible_at = far_future;
  auto why = reason::no_backend;
  for (const auto& member : group.members) {
    const auto& backend = *member.backend;
    if (!context.domains[member.domain].allowed || this->is_withdrawn(backend) ||
        backend.is_cold(context.now)) {
      continue;
    }
    const auto at = std::max(backend.busy_end(), backend.next_send_at(context.now));
    if (at < eligible_at) {
      eligible_at = at;
      why = backend.admits_after_busy(context.now) ? reason::backend_limited : reason::backend_busy;
    }
  }
  const auto retry_after = why == reason::no_backend ? impl::max_retry_after : eligible_at - context.now;
  return this->refuse(why, retry_after, 0);
}

placement_decision backend_table::choose(const placement_request& request, time_point now) {
  const auto found = this->services.find(request.service);
  if (found == this->services.end()) {
    return this->refuse(reason::no_backend, impl::max_retry_after, 0);
  }
  const auto& group = found->second;
  const auto context = this->make_context(group, request, now);
  auto eligible = this->eligible_members(group, context);
  this->apply_traffic_moves(request, eligible);
  if (eligible.empty()) {
    return this->refuse_without_backend(group, context);
  }
  double load = 0;
  double slots = 0;
  for (const auto* const member : eligible) {
    load += member->backend->load(now) + static_cast<double>(member->backend->queue.size());
    slots += member->backend->declared().slots;
  }
  const auto homes = request.object ? homes_for(group, eligible, context) : home_members{};
  const double remaining_ms = static_cast<double>((request.deadline - now).ms);
  const double utilisation = load / std::max(slots, 1.0);
  std::optional<candidate> best;
  double earliest_ms = 0;
  const auto consider = [&](const group_member& member) {
    const auto evaluated = evaluate(group, context, member, homes, utilisation);
    earliest_ms = earliest_ms == 0 ? evaluated.total_ms() : std::min(earliest_ms, evaluated.total_ms());
    const bool in_time =
        evaluated.total_ms() <= remaining_ms && member.backend->queue.size() < group.settings.queue_limit;
    if (in_time && (!best || evaluated.cost_ms < best->cost_ms)) {
      best = evaluated;
    }
  };
  const auto consider_all = [&](const member_list& among) {
    for (const auto* const member : among) {
      consider(*member);
    }
  };
  consider_all(homes.shared.empty() ? eligible : homes.shared);
  for (const auto* const member : {homes.in_domain, homes.relief}) {
    if (member != nullptr && member->backend->objects.contains(*request.object)) {
      consider(*member);
    }
  }
  if (!best && group.settings.allow_spillover && utilisation < impl::max_spillover_utilisation) {
    // The homes cannot respond in time, but the service has spare capacity.
    consider_all(eligible);
  }
  const auto candidates = static_cast<int>(eligible.size());
  if (!best) {
    return this->refuse(reason::wait_exceeds_deadline, impl::to_duration(earliest_ms - remaining_ms),
                        candidates);
  }
  if (request.object) {
    if (const auto copy = this->find_paid_copy(group, context, homes, *best, utilisation)) {
      best = copy;
    }
  }
  const auto& target = best->member->backend;
  placement_decision decision;
  decision.target = target;
  decision.expected_warmth = best->expected_warmth;
  decision.expected_work = impl::to_duration(best->round_trip_ms + best->work_ms);
  decision.expected_load_time = impl::to_duration(best->round_trip_ms + best->wait_ms +
                                                  context.estimate.cold_ms() * target->slowness(now));
  decision.expected_total = impl::to_duration(best->total_ms());
  decision.load = target->load(now);
  decision.candidates = candidates;
  const bool sends_now = target->queue.empty() && this->has_capacity(*target, now);
  decision.action = sends_now ? placement_action::send : placement_action::wait;
  return decision;
}

bool backend_table::has_capacity(const backend_state& backend, time_point now) const {
  const auto found = this->services.find(backend.declared().service);
  if (found == this->services.end()) {
    return false;
  }
  const auto& group = found->second;
  const double slots = std::max(backend.declared().slots, 1);
  // Requests and responses in transit occupy no slot.
  const double in_transit =
      slots * static_cast<double>(this->round_trip(backend).ms) / std::max(group.mean_slot_time_ms, 1.0);
  return backend.load(now) + 1 <= slots + std::min(in_transit, slots) + group.settings.overcommit;
}

}  // namespace zinnia
