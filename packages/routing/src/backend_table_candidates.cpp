// Homes of objects, what a server would cost a request, and copies that requests have paid for.
#include <algorithm>

#include "zinnia/routing/backend_table.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Assumed slowdown of a cold server, unless its response times show a greater one.
constexpr double assumed_cold_slowness = 2;
/// Cost of a failed attempt as latency. A repeatable request is retried at another server; a request that
/// runs at most once loses its response.
constexpr double repeatable_failure_cost_ms = 400;
constexpr double unrepeatable_failure_cost_ms = 2000;
/// Cost of a server's load, as a fraction of the time that its slots are expected to be busy: other nodes may
/// have sent requests that this node has not heard of.
constexpr double contention_fraction = 0.25;
/// Upper limit on the shared homes that hold an object: more copies would push other objects out of the
/// servers' memory while the service is busy.
constexpr std::ptrdiff_t max_shared_copies = 2;

}  // namespace
}  // namespace impl

void backend_table::apply_settings(service_group& group) const {
  for (const auto& member : group.members) {
    member.backend->set_robust_slowness(group.settings.robust_slowness);
  }
  this->update_slot_weights(group);
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
                            domain.is_own_domain, domain.is_own_region});
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

backend_table::candidate backend_table::evaluate(const service_group& group, const request_context& context,
                                                 const group_member& member, const home_members& homes,
                                                 double utilisation) {
  const auto& request = context.request;
  const auto& backend = *member.backend;
  const auto& domain = context.domains[member.domain];
  const auto slots = std::max(backend.declared().slots, 1);
  candidate evaluated;
  // A cold server's response times already show that it is cold, so the assumption is only a lower bound.
  evaluated.expected_warmth = expected_warmth(context, member, homes);
  const double usual_ms = context.estimate.expected_ms(evaluated.expected_warmth);
  const double learned_slowness =
      backend.slowness(context.now, duration{static_cast<std::int64_t>(usual_ms)});
  const double slowness = backend.is_cold(context.now)
                              ? std::max(learned_slowness, impl::assumed_cold_slowness)
                              : learned_slowness;
  evaluated.member = &member;
  evaluated.round_trip_ms = domain.round_trip_ms;
  evaluated.work_ms = usual_ms * slowness;
  // Requests and responses in transit occupy no slot.
  const double in_transit = backend.in_flight() * domain.round_trip_ms /
                            std::max(domain.round_trip_ms + group.mean_slot_time_ms, 1.0);
  const double load = backend.load(context.now) - in_transit;
  const double queue_position = load + backend.queue.count_ahead(request.priority, request.share) + 1 - slots;
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

}  // namespace zinnia
