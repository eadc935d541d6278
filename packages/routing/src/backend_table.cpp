// Placement by affinity, waiting time, distance and bytes.
#include "zinnia/routing/backend_table.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "zinnia/core/rendezvous.hpp"
#include "zinnia/routing/rendezvous_score.hpp"

namespace zinnia {
namespace impl {
namespace {

/// Round trips assumed until a connection has been timed.
constexpr double same_domain_round_trip_ms = 1;
constexpr double same_region_round_trip_ms = 2;
constexpr double other_region_round_trip_ms = 60;
/// Weight of the newest timed connection.
constexpr double newest_round_trip_weight = 0.3;
/// How many times longer work takes while a server is cold, until its answers say so themselves.
constexpr double cold_slowness = 2;
/// What a failed attempt costs, as latency: a repeat elsewhere, or for requests that run at most once the
/// answer.
constexpr double repeatable_failure_ms = 400;
constexpr double final_failure_ms = 2000;
/// Part of the rate that a cold server bears which its warming node uses; a second node may warm it for a
/// moment.
constexpr double used_cold_rate = 0.8;
/// Cost of moving an answer's bytes that halves a server's share of the homes.
constexpr double transfer_halving_ms = 20;
/// Part of a route's latency target that distance and work may take for a server to be a full home, and the
/// part from which on it is hardly one; between them its share falls evenly, as a step would move many
/// objects at once.
constexpr double full_home_latency_part = 0.8;
constexpr double hardly_home_latency_part = 1.0;
/// Share of the homes that a server beyond that keeps.
constexpr double too_far_part = 0.1;
/// Utilisation of a service up to which objects may leave their homes; above it misses would feed on
/// themselves.
constexpr double spare_utilisation = 0.6;
/// Weight of the newest request in a service's average work.
constexpr double newest_work_weight = 0.05;
/// Least and most time after which a refused caller is asked to come back.
constexpr duration least_retry_after{50};
constexpr duration most_retry_after{1000};

/// Share of its weight that a server keeps whose answers take this part of the latency target.
[[nodiscard]] double in_time_part(double used) noexcept {
  const double beyond = (used - full_home_latency_part) / (hardly_home_latency_part - full_home_latency_part);
  return 1 - (1 - too_far_part) * std::clamp(beyond, 0.0, 1.0);
}

[[nodiscard]] duration to_duration(double ms) noexcept {
  return {static_cast<std::int64_t>(std::llround(ms))};
}

}  // namespace
}  // namespace impl

void backend_table::apply(const routing_snapshot& snapshot, time_point now) {
  std::map<service_id, service_group> next;
  for (const auto& [id, declaration] : snapshot.services) {
    auto& group = next[id];
    group.declaration = declaration;
    if (snapshot.tree != nullptr) {
      group.settings =
          to_placement_settings(snapshot.tree->effective(id, this->here.region, this->here.domain).values);
    }
    if (const auto known = this->services.find(id); known != this->services.end()) {
      group.mean_work_ms = known->second.mean_work_ms;
    }
  }
  for (const auto& domain : this->evacuated) {
    if (!snapshot.evacuated.contains(domain)) {
      // Servers may have become cold meanwhile, which their health check tells.
      for (const auto& [id, backend] : this->backends) {
        if (backend->declared().domain == domain) {
          backend->suspend(duration{0}, now);
        }
      }
    }
  }
  this->evacuated = snapshot.evacuated;
  this->shifts = snapshot.shifts;
  std::map<backend_id, std::shared_ptr<backend_state>> kept;
  std::map<failure_domain_id, std::size_t> positions;
  this->domains.clear();
  this->list.clear();
  for (const auto& [id, declaration] : snapshot.backends) {
    auto& backend = kept[id];
    if (const auto known = this->backends.find(id); known != this->backends.end()) {
      backend = known->second;
      backend->update_declaration(declaration);
    } else {
      backend = std::make_shared<backend_state>(declaration);
    }
    this->list.push_back(backend);
    const auto [position, is_new] = positions.try_emplace(declaration.domain, this->domains.size());
    if (is_new) {
      this->domains.push_back({declaration.domain, this->region_of(declaration.domain)});
    }
    if (const auto group = next.find(declaration.service); group != next.end()) {
      group->second.members.push_back({backend, position->second});
    }
  }
  this->services = std::move(next);
  this->backends = std::move(kept);
}

void backend_table::assign_warmup(const std::map<node_id, location>& alive,
                                  const std::set<region_id>& staffed, const node_id& self) {
  for (const auto& [id, backend] : this->backends) {
    const location where{backend->declared().domain, this->region_of(backend->declared().domain)};
    int nearest = -1;
    std::uint64_t best_weight = 0;
    const node_id* owner = nullptr;
    for (const auto& [node, other] : alive) {
      const int near = other.domain == where.domain ? 2 : other.region == where.region ? 1 : 0;
      const auto weight = rendezvous_weight(node.str(), id.str());
      if (near > nearest || (near == nearest && weight > best_weight)) {
        nearest = near;
        best_weight = weight;
        owner = &node;
      }
    }
    const bool is_theirs = where.region != this->here.region && staffed.contains(where.region);
    backend->is_warmed_by_this_node = !is_theirs && owner != nullptr && *owner == self;
  }
}

region_id backend_table::region_of(const failure_domain_id& domain) const {
  const auto found = this->regions.find(domain);
  return found == this->regions.end() ? region_id{} : found->second;
}

duration backend_table::round_trip(const backend_state& backend) const {
  return this->round_trip_to(backend.declared().domain);
}

duration backend_table::round_trip_to(const failure_domain_id& domain) const {
  if (const auto timed = this->round_trips.find(domain); timed != this->round_trips.end()) {
    return impl::to_duration(timed->second);
  }
  if (domain == this->here.domain) {
    return impl::to_duration(impl::same_domain_round_trip_ms);
  }
  return impl::to_duration(this->region_of(domain) == this->here.region ? impl::same_region_round_trip_ms
                                                                        : impl::other_region_round_trip_ms);
}

void backend_table::record_round_trip(const backend_state& backend, duration took) {
  const auto sample = static_cast<double>(took.ms);
  auto& known = this->round_trips.try_emplace(backend.declared().domain, sample).first->second;
  known += (sample - known) * impl::newest_round_trip_weight;
}

work_estimate& backend_table::estimate(const route& rule, const service_id& service) {
  return this->estimates[service.str() + rule.prefix];
}

void backend_table::record_service_time(const service_id& service, double took_ms) {
  if (const auto found = this->services.find(service); found != this->services.end()) {
    found->second.mean_work_ms += (took_ms - found->second.mean_work_ms) * impl::newest_work_weight;
  }
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
         backend.has_cold_room(service->cold_requests_per_second * impl::used_cold_rate, now);
}

backend_table::request_view backend_table::view(const service_group& group, const placement_request& request,
                                                time_point now) {
  request_view made{request, this->estimate(*request.matched_route, request.service), now, {}};
  made.domains.reserve(this->domains.size());
  for (const auto& domain : this->domains) {
    domain_view& one = made.domains.emplace_back();
    one.allowed = request.matched_route->allowed_regions.empty() ||
                  request.matched_route->allowed_regions.contains(domain.region);
    one.round_trip_ms = static_cast<double>(this->round_trip_to(domain.id).ms);
    one.transfer_ms = this->transfer_cost(group, domain, made.estimate.response_kib());
    one.slot_weight = this->slot_weight(group, domain, request, made.estimate);
  }
  return made;
}

backend_table::member_list backend_table::usable(const service_group& group, const request_view& view) const {
  const auto* const tried = view.request.tried;
  member_list found;
  for (const auto& member : group.members) {
    const bool untried = tried == nullptr || std::find(tried->begin(), tried->end(),
                                                       member.backend->declared().id) == tried->end();
    if (view.domains[member.domain].allowed && untried && this->is_eligible(*member.backend, view.now)) {
      found.push_back(&member);
    }
  }
  return found;
}

void backend_table::follow_moves(const placement_request& request, member_list& among) const {
  const auto found = this->shifts.moves.find({request.service, this->here.region});
  if (found == this->shifts.moves.end()) {
    return;
  }
  constexpr std::uint64_t percent = 100;
  auto position = static_cast<std::int64_t>(request.object.value_or(request.request_hash) % percent);
  for (const auto& part : found->second) {
    position -= part.percent;
    if (position >= 0) {
      continue;
    }
    member_list there;
    std::copy_if(among.begin(), among.end(), std::back_inserter(there),
                 [&](const auto* member) { return this->domains[member->domain].region == part.to; });
    if (!there.empty()) {
      among = std::move(there);
    }
    return;
  }
}

double backend_table::slot_weight(const service_group& group, const domain_entry& domain,
                                  const placement_request& request, const work_estimate& estimate) const {
  if (domain.id == this->here.domain) {
    return group.settings.own_domain_weight;
  }
  const bool same_region = domain.region == this->here.region;
  const double weight = same_region ? group.settings.own_region_weight : group.settings.other_region_weight;
  const double transfer_ms = this->transfer_cost(group, domain, estimate.stable_response_kib());
  const double bytes_part = 1 / (1 + transfer_ms / impl::transfer_halving_ms);
  const auto target =
      static_cast<double>(std::max<std::int64_t>(request.matched_route->target_latency.ms, 1));
  const double used = (static_cast<double>(this->round_trip_to(domain.id).ms) + estimate.warm_ms()) / target;
  return weight * bytes_part * impl::in_time_part(used);
}

backend_table::member_list backend_table::homes_of(const service_group& group, const member_list& among,
                                                   const request_view& view) {
  std::vector<std::pair<double, const group_member*>> scored;
  scored.reserve(among.size());
  for (const auto* const member : among) {
    const auto& backend = *member->backend;
    if (!backend.is_cold(view.now)) {
      const double weight = view.domains[member->domain].slot_weight * std::max(backend.declared().slots, 1);
      scored.emplace_back(rendezvous_score(backend.hash(), *view.request.object, weight), member);
    }
  }
  const auto count = std::min(scored.size(), group.settings.homes_per_object);
  std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(),
                    [](const auto& a, const auto& b) { return a.first > b.first; });
  member_list homes;
  for (std::size_t i = 0; i < count; ++i) {
    homes.push_back(scored[i].second);
  }
  return homes;
}

double backend_table::transfer_cost(const service_group& group, const domain_entry& domain,
                                    double kib) const {
  if (domain.id == this->here.domain) {
    return 0;
  }
  const double rate = domain.region == this->here.region ? group.settings.domain_transfer_ms_per_kib
                                                         : group.settings.region_transfer_ms_per_kib;
  return rate * kib;
}

backend_table::candidate backend_table::weigh(const service_group& group, const request_view& view,
                                              const group_member& member, const group_member* home,
                                              double utilisation) {
  const auto& request = view.request;
  const auto& backend = *member.backend;
  const auto& domain = view.domains[member.domain];
  const auto slots = std::max(backend.declared().slots, 1);
  const double slowness = backend.slowness(view.now) * (backend.is_cold(view.now) ? impl::cold_slowness : 1);
  candidate weighed;
  weighed.member = &member;
  weighed.expected_warmth = !request.object || backend.objects.contains(*request.object) ? warmth::known
                            : &member == home                                            ? warmth::presumed
                                                                                         : warmth::none;
  weighed.round_trip_ms = domain.round_trip_ms;
  weighed.work_ms = view.estimate.expected_ms(weighed.expected_warmth) * slowness;
  const double ahead =
      backend.load(view.now) + backend.queue.count_ahead(request.matched_route->priority) + 1 - slots;
  weighed.wait_ms = std::max(ahead, 0.0) * group.mean_work_ms * slowness / slots;
  const double miss = weighed.expected_warmth == warmth::none
                          ? (view.estimate.cold_ms() - view.estimate.warm_ms()) * slowness
                          : 0;
  const double failure = request.repeatable ? impl::repeatable_failure_ms : impl::final_failure_ms;
  weighed.cost_ms = weighed.total_ms() + miss * group.settings.miss_penalty * std::min(utilisation, 1.0) +
                    backend.failure_ratio(view.now) * failure + domain.transfer_ms;
  return weighed;
}

placement_decision backend_table::refuse(reason refusal_reason, duration retry_after, int candidates) const {
  placement_decision decision;
  decision.refusal_reason = refusal_reason;
  decision.retry_after = std::clamp(retry_after, impl::least_retry_after, impl::most_retry_after);
  decision.candidates = candidates;
  return decision;
}

placement_decision backend_table::choose(const placement_request& request, time_point now) {
  const auto found = this->services.find(request.service);
  if (found == this->services.end()) {
    return this->refuse(reason::no_backend, impl::most_retry_after, 0);
  }
  const auto& group = found->second;
  const auto view = this->view(group, request, now);
  auto usable_now = this->usable(group, view);
  this->follow_moves(request, usable_now);
  if (usable_now.empty()) {
    return this->refuse(reason::no_backend, impl::most_retry_after, 0);
  }
  double load = 0;
  double slots = 0;
  for (const auto* const member : usable_now) {
    load += member->backend->load(now) + static_cast<double>(member->backend->queue.size());
    slots += member->backend->declared().slots;
  }
  const auto homes = request.object ? homes_of(group, usable_now, view) : member_list{};
  const auto* const home = homes.empty() ? nullptr : homes.front();
  const double left = static_cast<double>((request.deadline - now).ms);
  const double utilisation = load / std::max(slots, 1.0);
  std::optional<candidate> best;
  double soonest = 0;
  const auto weigh_all = [&](const member_list& among) {
    for (const auto* const member : among) {
      const auto weighed = weigh(group, view, *member, home, utilisation);
      soonest = soonest == 0 ? weighed.total_ms() : std::min(soonest, weighed.total_ms());
      const bool in_time =
          weighed.total_ms() <= left && member->backend->queue.size() < group.settings.queue_limit;
      if (in_time && (!best || weighed.cost_ms < best->cost_ms)) {
        best = weighed;
      }
    }
  };
  weigh_all(homes.empty() ? usable_now : homes);
  if (!best && group.settings.allow_spillover && utilisation < impl::spare_utilisation) {
    // The service has room, only these homes have not.
    weigh_all(usable_now);
  }
  const auto candidates = static_cast<int>(usable_now.size());
  if (!best) {
    return this->refuse(reason::wait_exceeds_deadline, impl::to_duration(soonest - left), candidates);
  }
  const auto& target = best->member->backend;
  placement_decision decision;
  decision.target = target;
  decision.expected_warmth = best->expected_warmth;
  decision.expected_work = impl::to_duration(best->round_trip_ms + best->work_ms);
  decision.expected_total = impl::to_duration(best->total_ms());
  decision.load = target->load(now);
  decision.candidates = candidates;
  const bool goes_now = target->queue.empty() && this->has_capacity(*target, now);
  decision.action = goes_now ? placement_action::send : placement_action::wait;
  return decision;
}

bool backend_table::has_capacity(const backend_state& backend, time_point now) const {
  const auto found = this->services.find(backend.declared().service);
  if (found == this->services.end()) {
    return false;
  }
  const auto& group = found->second;
  const double slots = std::max(backend.declared().slots, 1);
  // Requests and answers under way hold no slot.
  const double on_the_way =
      slots * static_cast<double>(this->round_trip(backend).ms) / std::max(group.mean_work_ms, 1.0);
  return backend.load(now) + 1 <= slots + std::min(on_the_way, slots) + group.settings.overcommit;
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
