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
/// Assumed slowdown of a cold server, unless its response times show a greater one.
constexpr double assumed_cold_slowness = 2;
/// Cost of a failed attempt as latency. A repeatable request is retried at another server; a request that
/// runs at most once loses its response.
constexpr double repeatable_failure_cost_ms = 400;
constexpr double unrepeatable_failure_cost_ms = 2000;
/// Fraction of a cold server's request rate that the node warming it uses. The rest is a margin for a second
/// node that may warm it for a short time.
constexpr double cold_rate_fraction = 0.8;
/// Upper limit on the shared homes that hold an object: more copies would push other objects out of the
/// servers' memory while the service is busy.
constexpr std::ptrdiff_t max_shared_copies = 2;
/// Utilisation of a service below which objects may spill over to servers other than their homes. Above it
/// the extra misses would cause further misses.
constexpr double max_spillover_utilisation = 0.6;
/// Cost of a server's load, as a fraction of the time that its slots are expected to be busy: other nodes may
/// have sent requests that this node has not heard of.
constexpr double contention_fraction = 0.25;
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
  for (const auto& [id, declaration] : snapshot.backends) {
    auto& backend = next_backends[id];
    if (const auto known = this->backends.find(id); known != this->backends.end()) {
      backend = known->second;
      backend->update_declaration(declaration);
    } else {
      backend = std::make_shared<backend_state>(declaration);
    }
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
    this->update_slot_weights(group);
  }
  this->services = std::move(next_services);
  this->backends = std::move(next_backends);
}

void backend_table::assign_warmup(const std::map<node_id, location>& alive,
                                  const std::set<region_id>& regions_with_nodes, const node_id& self) {
  for (const auto& [id, backend] : this->backends) {
    const location backend_location{backend->declared().domain, this->region_of(backend->declared().domain)};
    int best_proximity = -1;
    std::uint64_t best_weight = 0;
    const node_id* owner = nullptr;
    for (const auto& [node, other] : alive) {
      const int proximity = other.domain == backend_location.domain   ? 2
                            : other.region == backend_location.region ? 1
                                                                      : 0;
      const auto weight = rendezvous_weight(node.str(), id.str());
      if (proximity > best_proximity || (proximity == best_proximity && weight > best_weight)) {
        best_proximity = proximity;
        best_weight = weight;
        owner = &node;
      }
    }
    const bool warmed_by_own_region = backend_location.region != this->own_location.region &&
                                      regions_with_nodes.contains(backend_location.region);
    backend->is_warmed_by_this_node = !warmed_by_own_region && owner != nullptr && *owner == self;
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

bool backend_table::is_eligible(const backend_state& backend, time_point now) const {
  const auto& declared = backend.declared();
  if (backend.is_suspended() || declared.mode != backend_mode::ready ||
      this->evacuated.contains(declared.domain) || this->shifts.closed_backends.contains(declared.id)) {
    return false;
  }
  if (!backend.is_cold(now)) {
    return true;
  }
  const auto* const service = this->service(declared.service);
  return backend.is_warmed_by_this_node && service != nullptr &&
         backend.within_cold_rate(service->cold_requests_per_second * impl::cold_rate_fraction, now);
}

backend_table::request_context backend_table::make_context(const service_group& group,
                                                           const placement_request& request, time_point now) {
  request_context context{request, this->estimate(*request.matched_route, request.service), now, {}};
  context.domains.reserve(this->domains.size());
  for (const auto& domain : this->domains) {
    domain_costs& costs = context.domains.emplace_back();
    costs.allowed = request.matched_route->allowed_regions.empty() ||
                    request.matched_route->allowed_regions.contains(domain.region);
    costs.round_trip_ms = static_cast<double>(this->round_trip_to(domain.id).ms);
    costs.transfer_ms = this->transfer_cost(group, domain, context.estimate.response_kib());
    costs.stable_transfer_ms = this->transfer_cost(group, domain, context.estimate.stable_response_kib());
    costs.is_own = domain.id == this->own_location.domain;
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

void backend_table::update_slot_weights(service_group& group) const {
  std::map<region_id, region_capacity> regions;
  for (const auto& [domain, region] : this->regions_by_domain) {
    // Callers are taken to be spread evenly over the failure domains.
    regions.try_emplace(region, region_capacity{0, 0}).first->second.demand += 1;
  }
  for (const auto& member : group.members) {
    const auto& declared = member.backend->declared();
    const auto& domain = this->domains[member.domain];
    if (declared.mode == backend_mode::ready && !this->evacuated.contains(domain.id)) {
      regions[domain.region].slots += std::max(declared.slots, 1);
    }
  }
  const auto weights = slot_weights(regions, this->own_location.region);
  group.slot_weights.clear();
  for (const auto& domain : this->domains) {
    const auto found = weights.find(domain.region);
    const bool is_own = domain.region == this->own_location.region;
    group.slot_weights.push_back(
        (found == weights.end() ? 1.0 : found->second) *
        (is_own ? group.settings.own_region_weight : group.settings.other_region_weight));
  }
}

backend_table::home_members backend_table::homes_for(const service_group& group, const member_list& among,
                                                     const request_context& context) {
  std::vector<home_candidate> candidates;
  member_list warm_members;
  candidates.reserve(among.size());
  warm_members.reserve(among.size());
  for (const auto* const member : among) {
    const auto& backend = *member->backend;
    if (!backend.is_cold(context.now)) {
      const auto& domain = context.domains[member->domain];
      candidates.push_back({backend.hash(), domain.slot_weight * std::max(backend.declared().slots, 1),
                            domain.is_own, domain.is_own_region});
      warm_members.push_back(member);
    }
  }
  const auto object = *context.request.object;
  const auto ranking = rank_homes(candidates, object, group.settings.homes_per_object);
  home_members homes;
  const auto note_holder = [&](const group_member* member) {
    homes.has_holder = homes.has_holder || member->backend->objects.contains(object);
    return member;
  };
  for (const auto index : ranking.shared) {
    homes.shared.push_back(note_holder(warm_members[index]));
  }
  homes.in_domain = ranking.in_domain ? note_holder(warm_members[*ranking.in_domain]) : nullptr;
  homes.relief = ranking.relief ? note_holder(warm_members[*ranking.relief]) : nullptr;
  return homes;
}

warmth backend_table::expected_warmth(const request_context& context, const group_member& member,
                                      const home_members& homes) {
  const auto& object = context.request.object;
  if (!object || member.backend->objects.is_loaded(*object, context.now)) {
    return warmth::known;
  }
  if (member.backend->objects.contains(*object)) {
    return warmth::presumed;
  }
  // Requests that this node has not heard of are most likely to have gone to the first home.
  const bool is_first_home = !homes.shared.empty() && homes.shared.front() == &member;
  return !homes.has_holder && is_first_home ? warmth::presumed : warmth::none;
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

backend_table::candidate backend_table::evaluate(const service_group& group, const request_context& context,
                                                 const group_member& member, const home_members& homes,
                                                 double utilisation) {
  const auto& request = context.request;
  const auto& backend = *member.backend;
  const auto& domain = context.domains[member.domain];
  const auto slots = std::max(backend.declared().slots, 1);
  // A cold server's response times already show that it is cold, so the assumption is only a lower bound.
  const double learned_slowness = backend.slowness(context.now);
  const double slowness = backend.is_cold(context.now)
                              ? std::max(learned_slowness, impl::assumed_cold_slowness)
                              : learned_slowness;
  candidate evaluated;
  evaluated.member = &member;
  evaluated.expected_warmth = expected_warmth(context, member, homes);
  evaluated.round_trip_ms = domain.round_trip_ms;
  evaluated.work_ms = context.estimate.expected_ms(evaluated.expected_warmth) * slowness;
  // Requests and responses in transit occupy no slot.
  const double in_transit = backend.in_flight() * domain.round_trip_ms /
                            std::max(domain.round_trip_ms + group.mean_slot_time_ms, 1.0);
  const double load = backend.load(context.now) - in_transit;
  const double queue_position = load + backend.queue.count_ahead(request.matched_route->priority) + 1 - slots;
  evaluated.wait_ms = std::max(queue_position, 0.0) * group.mean_slot_time_ms * slowness / slots;
  const double contention_ms = impl::contention_fraction * load * group.mean_slot_time_ms / slots;
  // Where no server holds the object, some server has to load it.
  const double miss_extra_ms = homes.has_holder && evaluated.expected_warmth == warmth::none
                                   ? (context.estimate.cold_ms() - context.estimate.warm_ms()) * slowness
                                   : 0;
  const double failure_cost_ms =
      request.repeatable ? impl::repeatable_failure_cost_ms : impl::unrepeatable_failure_cost_ms;
  evaluated.busy_ms =
      evaluated.wait_ms + contention_ms + backend.failure_ratio(context.now) * failure_cost_ms;
  evaluated.distance_ms = domain.round_trip_ms + domain.stable_transfer_ms;
  // Nodes in different places must choose the same server to load an object, so distance does not count then.
  const bool is_first_load = request.object.has_value() && !homes.has_holder;
  evaluated.cost_ms = evaluated.busy_ms + (is_first_load ? 0 : evaluated.distance_ms) + evaluated.work_ms +
                      miss_extra_ms * group.settings.miss_penalty * std::min(utilisation, 1.0);
  return evaluated;
}

std::optional<backend_table::candidate> backend_table::find_paid_copy(const service_group& group,
                                                                      const request_context& context,
                                                                      const home_members& homes,
                                                                      const candidate& best,
                                                                      double utilisation) {
  const auto object = *context.request.object;
  const auto remaining_ms = static_cast<double>((context.request.deadline - context.now).ms);
  const double price_ms = (context.estimate.cold_ms() - context.estimate.warm_ms()) *
                          (1 + group.settings.miss_penalty * std::min(utilisation, 1.0));
  const auto evaluate_copy = [&](const group_member* member) -> std::optional<candidate> {
    if (member == nullptr || member == best.member || member->backend->objects.contains(object)) {
      return std::nullopt;
    }
    const auto evaluated = evaluate(group, context, *member, homes, utilisation);
    const bool in_time =
        evaluated.total_ms() <= remaining_ms && member->backend->queue.size() < group.settings.queue_limit;
    return in_time ? std::optional{evaluated} : std::nullopt;
  };
  // Objects in other regions are there because the own region has no slots for them.
  const bool is_in_region = context.domains[best.member->domain].is_own_region;
  if (const auto near = is_in_region ? evaluate_copy(homes.in_domain) : std::nullopt) {
    const double saved_ms = best.distance_ms - near->distance_ms;
    if (near->busy_ms < best.busy_ms + saved_ms &&
        this->copies.pay(object ^ near->member->backend->hash(), saved_ms * group.settings.own_domain_weight,
                         price_ms)) {
      return near;
    }
  }
  if (const auto relief = evaluate_copy(homes.relief)) {
    const double saved_ms = best.busy_ms + best.distance_ms - relief->busy_ms - relief->distance_ms;
    if (saved_ms > 0 && this->copies.pay(object ^ relief->member->backend->hash(), saved_ms, price_ms)) {
      return relief;
    }
  }
  const auto holders = std::count_if(homes.shared.begin(), homes.shared.end(), [&](const auto* member) {
    return member->backend->objects.contains(object);
  });
  if (holders >= impl::max_shared_copies) {
    return std::nullopt;
  }
  std::optional<candidate> least_busy;
  for (const auto* const member : homes.shared) {
    const auto evaluated = evaluate_copy(member);
    if (evaluated && (!least_busy || evaluated->busy_ms < least_busy->busy_ms)) {
      least_busy = evaluated;
    }
  }
  if (least_busy && least_busy->busy_ms < best.busy_ms &&
      this->copies.pay(object, best.busy_ms - least_busy->busy_ms, price_ms)) {
    return least_busy;
  }
  return std::nullopt;
}

placement_decision backend_table::refuse(reason refusal_reason, duration retry_after, int candidates) const {
  placement_decision decision;
  decision.refusal_reason = refusal_reason;
  decision.retry_after = std::clamp(retry_after, impl::min_retry_after, impl::max_retry_after);
  decision.candidates = candidates;
  return decision;
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
    return this->refuse(reason::no_backend, impl::max_retry_after, 0);
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

std::vector<std::shared_ptr<backend_state>> backend_table::due_for_health_check(time_point now) const {
  std::vector<std::shared_ptr<backend_state>> due;
  for (const auto& [id, backend] : this->backends) {
    const auto& declared = backend->declared();
    if (backend->needs_health_check(now) && declared.mode == backend_mode::ready &&
        !this->evacuated.contains(declared.domain)) {
      due.push_back(backend);
    }
  }
  return due;
}

std::shared_ptr<backend_state> backend_table::find(const backend_id& id) const {
  const auto found = this->backends.find(id);
  return found == this->backends.end() ? nullptr : found->second;
}

const service_declaration* backend_table::service(const service_id& id) const {
  const auto found = this->services.find(id);
  return found == this->services.end() ? nullptr : &found->second.declaration;
}

const placement_settings& backend_table::settings_of(const service_id& id) const {
  static const placement_settings defaults;
  const auto found = this->services.find(id);
  return found == this->services.end() ? defaults : found->second.settings;
}

}  // namespace zinnia
