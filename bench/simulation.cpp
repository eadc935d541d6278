// The behaviour of simulated callers and entry nodes, and their messages to backend servers.
#include "simulation.hpp"

#include <algorithm>
#include <cmath>

#include "baseline_placement.hpp"
#include "event_queue.hpp"
#include "run_recorder.hpp"
#include "simulated_server.hpp"
#include "slot_pool.hpp"
#include "zinnia/core/rendezvous.hpp"

namespace zinnia::bench {
namespace impl {
namespace {

/// Time past the expected start of a queued request after which the entry node selects a server again.
constexpr double reselect_delay_ms = 40;
constexpr double tick_interval_ms = 25;
/// Mean time for which a notice waits for others before it is sent.
constexpr double notice_batch_delay_ms = 50;
/// Standard deviation of the processing time, as a fraction of its mean.
constexpr double work_time_deviation = 0.15;

/// A simulated entry node.
struct entry {
  location own_location;
  std::unique_ptr<backend_table> table;
};

class simulation {
 public:
  simulation(const scenario& input_in, policy selected_policy_in, std::uint64_t seed)
      : input{input_in}, selected_policy{selected_policy_in}, random{seed} {
    this->initialize();
  }

  [[nodiscard]] simulation_result run() {
    for (std::size_t i = 0; i < this->input.classes.size(); ++i) {
      for (const auto& [domain, region] : this->regions) {
        this->schedule_arrival(this->input.classes[i], domain);
      }
    }
    for (const auto& event : this->input.events) {
      this->events.schedule(sim_time_from_ms(event.at_s * 1000),
                            [this, &event] { this->apply_event(event, true); });
      this->events.schedule(sim_time_from_ms((event.at_s + event.for_s) * 1000),
                            [this, &event] { this->apply_event(event, false); });
    }
    this->tick();
    this->events.run();
    return this->recorder.finish();
  }

 private:
  void schedule_in_ms(double delay_ms, std::function<void()> action) {
    this->events.schedule(this->events.now() + sim_time_from_ms(delay_ms), std::move(action));
  }
  [[nodiscard]] time_point current_time() const { return {1'000'000 + this->events.now() / 1000}; }
  [[nodiscard]] double uniform_random() { return std::uniform_real_distribution<>{0, 1}(this->random); }

  void initialize() {
    for (const auto& domain : this->input.tree.domains()) {
      this->regions.emplace(domain.id, domain.region);
    }
    const server_limits limits{this->input.slots, this->input.queue, this->input.remembered};
    routing_snapshot snapshot;
    snapshot.sequence = 1;
    snapshot.tree = std::make_shared<const settings_tree>(this->input.tree);
    for (const auto& group : this->input.servers) {
      snapshot.services[group.service] = {group.service, "/health", 1000, 0};
      for (int i = 0; i < group.count; ++i) {
        backend_declaration backend;
        backend.id = backend_id{group.service.str() + "-" + group.domain.str() + "-" + std::to_string(i)};
        backend.service = group.service;
        backend.domain = group.domain;
        backend.slots = this->input.slots;
        snapshot.backends.emplace(backend.id, backend);
        this->servers.insert_or_assign(backend.id, simulated_server{backend.service, backend.domain, limits});
      }
    }
    for (const auto& kind : this->input.classes) {
      route class_route;
      class_route.name = kind.name;
      class_route.prefix = "/" + kind.name + "/";
      class_route.priority = kind.priority;
      class_route.target_latency = {kind.aim_ms};
      this->routes.emplace(kind.name, class_route);
    }
    for (const auto& [domain, region] : this->regions) {
      for (int i = 0; i < this->input.entries_per_domain; ++i) {
        entry new_entry{{domain, region},
                        std::make_unique<backend_table>(location{domain, region}, this->regions)};
        new_entry.table->apply(snapshot, this->current_time());
        this->entries.push_back(std::move(new_entry));
      }
    }
  }

  /// Returns the one-way network delay between two failure domains.
  [[nodiscard]] double delay_ms(const failure_domain_id& a, const failure_domain_id& b) const {
    if (a == b) {
      return 0.2;
    }
    return this->regions.at(a) == this->regions.at(b) ? this->input.domain_delay_ms
                                                      : this->input.region_delay_ms;
  }

  void apply_event(const scenario_event& event, bool begins) {
    if (event.kind == event_kind::burst) {
      this->load_factor = begins ? event.factor : 1;
      return;
    }
    for (auto& [id, target] : this->servers) {
      if (target.domain != event.domain) {
        continue;
      }
      if (event.kind == event_kind::slow) {
        target.slowdown_factor = begins ? event.factor : 1;
      } else {
        target.set_lost(begins);
        for (auto& each : this->entries) {
          const auto backend = each.table->find(id);
          if (begins) {
            backend->suspend(duration{0}, this->current_time());
          } else {
            backend->on_health_check(true, duration{0}, this->current_time());
          }
        }
      }
    }
  }

  void schedule_arrival(const request_class& kind, const failure_domain_id& domain) {
    // The load has a period of 36 s and a different phase in each region.
    const double phase = static_cast<double>(stable_hash(this->regions.at(domain).str()) % 100) / 100;
    const double wave =
        1 + this->input.swing *
                std::sin(2 * M_PI * (static_cast<double>(this->events.now()) / us_per_s / 36 + phase));
    const double rate = std::max(kind.per_second_and_domain * wave * this->load_factor, 0.01);
    const double gap_ms = -std::log(1 - this->uniform_random()) * 1000 / rate;
    const auto when = this->events.now() + sim_time_from_ms(gap_ms);
    if (when > sim_time_from_ms(this->input.length_s * 1000)) {
      return;
    }
    this->events.schedule(when, [this, &kind, domain] {
      this->arrive(kind, domain);
      this->schedule_arrival(kind, domain);
    });
  }

  void arrive(const request_class& kind, const failure_domain_id& domain) {
    auto pending = std::make_shared<simulated_request>();
    pending->id = ++this->next_id;
    pending->kind = &kind;
    pending->domain = domain;
    // The callers in all failure domains of a region request the same objects.
    pending->object = stable_hash(kind.name + this->regions.at(domain).str() +
                                  std::to_string(static_cast<int>(this->uniform_random() * kind.objects)));
    pending->created_at = this->events.now();
    pending->deadline = this->events.now() + sim_time_from_ms(static_cast<double>(kind.deadline_ms));
    this->recorder.on_arrival(*pending);
    if (this->selected_policy == policy::pooled_bound) {
      this->serve_from_pool(pending);
      return;
    }
    this->send_to_entry(pending);
  }

  void send_to_entry(const std::shared_ptr<simulated_request>& pending) {
    std::vector<std::size_t> local_entries;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      if (this->entries[i].own_location.domain == pending->domain) {
        local_entries.push_back(i);
      }
    }
    pending->entry_index = local_entries[static_cast<std::size_t>(this->uniform_random() *
                                                                  static_cast<double>(local_entries.size()))];
    ++pending->attempts;
    this->schedule_in_ms(this->input.caller_delay_ms, [this, pending] { this->place_request(pending); });
  }

  [[nodiscard]] placement_decision choose_placement(const simulated_request& pending) {
    auto& table = *this->entries[pending.entry_index].table;
    if (!uses_homes(this->selected_policy)) {
      return choose_baseline(this->selected_policy, table, pending.kind->service, this->current_time(),
                             this->random);
    }
    placement_request query;
    query.matched_route = &this->routes.at(pending.kind->name);
    query.priority = {0, pending.kind->priority};
    query.service = pending.kind->service;
    query.object = pending.object;
    query.repeatable = pending.kind->repeatable;
    query.deadline = {1'000'000 + pending.deadline / 1000};
    query.tried = &pending.tried_backends;
    return table.choose(query, this->current_time());
  }

  void place_request(const std::shared_ptr<simulated_request>& pending) {
    if (this->events.now() >= pending->deadline) {
      this->complete(pending, false);
      return;
    }
    pending->decision = this->choose_placement(*pending);
    switch (pending->decision.action) {
      case placement_action::send:
        this->send_to_backend(pending);
        return;
      case placement_action::wait:
        this->queued_requests[pending->id] = pending;
        pending->decision.target->queue.push(
            {pending->id,
             {0, pending->kind->priority},
             this->current_time(),
             this->current_time() + (pending->decision.expected_total - pending->decision.expected_work) +
                 duration{static_cast<std::int64_t>(reselect_delay_ms)}});
        return;
      case placement_action::refuse:
        this->retry_or_refuse(pending);
    }
  }

  /// Simulates the caller's reaction to a refusal: one retry at a random local entry node, if time is left.
  void retry_or_refuse(const std::shared_ptr<simulated_request>& pending) {
    const double left_ms = static_cast<double>(pending->deadline - this->events.now()) / us_per_ms;
    const double wait_ms = std::min(static_cast<double>(pending->decision.retry_after.ms), left_ms * 0.3);
    if (pending->attempts < 2 && left_ms > 0) {
      this->schedule_in_ms(wait_ms + 2 * this->input.caller_delay_ms,
                           [this, pending] { this->send_to_entry(pending); });
      return;
    }
    this->recorder.on_refusal();
    pending->done = true;
  }

  void send_to_backend(const std::shared_ptr<simulated_request>& pending) {
    pending->sent_at = this->events.now();
    auto& sender = this->entries[pending->entry_index];
    sender.table->record_send(pending->decision, pending->kind->service, this->object_of(*pending),
                              this->current_time());
    this->spread_notices(pending->entry_index);
    auto& target = this->servers.at(pending->decision.target->declared().id);
    const auto delay = sim_time_from_ms(
        this->delay_ms(this->entries[pending->entry_index].own_location.domain, target.domain));
    this->events.schedule(this->events.now() + delay, [this, pending, &target, delay] {
      if (target.is_lost()) {
        return;
      }
      this->recorder.on_reached(this->regions.at(pending->domain), this->regions.at(target.domain),
                                this->events.now());
      switch (target.admit(pending)) {
        case admission::run:
          this->start_work(pending, target);
          return;
        case admission::wait:
          return;
        case admission::shed:
          this->events.schedule(this->events.now() + delay, [this, pending, &target] {
            this->on_backend_response(pending, target, false, false);
          });
      }
    });
  }

  void start_work(const std::shared_ptr<simulated_request>& pending, simulated_server& target) {
    const bool warm = target.begin_work(pending->object);
    this->recorder.on_run(warm);
    const double noise = std::max(0.3, 1 + work_time_deviation * std::normal_distribution<>{}(this->random));
    const double work_ms =
        pending->kind->work_ms * noise * (warm ? 1 - pending->kind->warm_gain : 1) * target.slowdown_factor;
    this->schedule_in_ms(work_ms, [this, pending, &target] {
      target.end_work();
      while (const auto next = target.take_waiting()) {
        if (next->deadline > this->events.now()) {
          this->start_work(next, target);
        } else {
          this->on_backend_response(next, target, false, false);
        }
      }
      const auto delay = sim_time_from_ms(
          this->delay_ms(this->entries[pending->entry_index].own_location.domain, target.domain));
      this->events.schedule(this->events.now() + delay, [this, pending, &target] {
        this->on_backend_response(pending, target, true, true);
      });
    });
  }

  void on_backend_response(const std::shared_ptr<simulated_request>& pending, simulated_server& target,
                           bool served, bool ran) {
    auto& table = *this->entries[pending->entry_index].table;
    const auto backend = pending->decision.target;
    const duration elapsed{(this->events.now() - pending->sent_at) / 1000};
    backend->on_report({target.running(), target.waiting(), this->input.slots}, this->current_time());
    table.record_attempt(
        {this->routes.at(pending->kind->name), pending->kind->service, pending->decision,
         this->object_of(*pending), served ? backend_outcome::responded : backend_outcome::shed, elapsed,
         pending->kind->answer_kib},
        this->current_time());
    const double round_trip_ms =
        2 * this->delay_ms(this->entries[pending->entry_index].own_location.domain, target.domain);
    table.record_round_trip(*backend, duration{static_cast<std::int64_t>(std::llround(round_trip_ms))});
    if (served && ran) {
      this->schedule_in_ms(this->input.caller_delay_ms, [this, pending] { this->complete(pending, true); });
    } else {
      pending->tried_backends.push_back(backend->declared().id);
      if (pending->tried_backends.size() < 2) {
        this->place_request(pending);
      } else {
        this->retry_or_refuse(pending);
      }
    }
    this->send_queued(pending->entry_index, backend);
  }

  /// Baselines do not look at objects, so their nodes learn nothing about holders.
  [[nodiscard]] std::optional<std::uint64_t> object_of(const simulated_request& pending) const {
    return uses_homes(this->selected_policy) ? std::optional{pending.object} : std::nullopt;
  }

  /// Delivers an entry node's notices to all others.
  void spread_notices(std::size_t from) {
    auto notices = this->entries[from].table->take_notices();
    if (notices.empty() || !this->input.notices) {
      return;
    }
    for (std::size_t to = 0; to < this->entries.size(); ++to) {
      if (to == from) {
        continue;
      }
      const double delay = notice_batch_delay_ms + this->delay_ms(this->entries[from].own_location.domain,
                                                                  this->entries[to].own_location.domain);
      this->schedule_in_ms(delay, [this, to, notices] {
        this->entries[to].table->apply_notices(notices, this->current_time());
      });
    }
  }

  /// Sends queued requests while the backend server has capacity; those past their deadline fail.
  void send_queued(std::size_t entry_index, const std::shared_ptr<backend_state>& backend) {
    auto& table = *this->entries[entry_index].table;
    while (!backend->queue.empty() && table.has_capacity(*backend, this->current_time())) {
      const auto next = backend->queue.pop();
      const auto found = this->queued_requests.find(next->ticket);
      const auto pending = found->second;
      this->queued_requests.erase(found);
      if (this->events.now() < pending->deadline) {
        this->send_to_backend(pending);
      } else {
        this->complete(pending, false);
      }
    }
  }

  /// Samples the free slots, and sends or reselects the requests queued on entry nodes.
  void tick() {
    double free_slots = 0;
    double all_slots = 0;
    for (const auto& [id, target] : this->servers) {
      free_slots += this->input.slots - target.running();
      all_slots += this->input.slots;
    }
    this->recorder.on_free_slots(free_slots / all_slots);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      for (const auto& backend : this->entries[i].table->all()) {
        if (backend->queue.empty()) {
          continue;
        }
        this->send_queued(i, backend);
        while (const auto due = backend->queue.pop_for_reselection(this->current_time())) {
          const auto found = this->queued_requests.find(due->ticket);
          const auto pending = found->second;
          this->queued_requests.erase(found);
          this->place_request(pending);
        }
      }
    }
    if (this->events.now() < sim_time_from_ms(this->input.length_s * 1000) ||
        !this->queued_requests.empty()) {
      this->schedule_in_ms(tick_interval_ms, [this] { this->tick(); });
    }
  }

  /// Serves a request under `policy::pooled_bound`: one queue for all slots of a service, every object
  /// remembered on every server, and no network delay between entry nodes and servers.
  void serve_from_pool(const std::shared_ptr<simulated_request>& pending) {
    const auto finish =
        this->pool_of(pending->kind->service)
            .reserve(this->events.now(),
                     sim_time_from_ms(pending->kind->work_ms * (1 - pending->kind->warm_gain)),
                     pending->deadline);
    if (!finish) {
      this->recorder.on_refusal();
      return;
    }
    this->events.schedule(*finish + sim_time_from_ms(2 * this->input.caller_delay_ms),
                          [this, pending] { this->complete(pending, true); });
  }

  [[nodiscard]] slot_pool& pool_of(const service_id& service) {
    if (const auto found = this->pools.find(service); found != this->pools.end()) {
      return found->second;
    }
    std::size_t slots = 0;
    for (const auto& [id, target] : this->servers) {
      slots += target.service == service ? static_cast<std::size_t>(std::max(this->input.slots, 0)) : 0;
    }
    return this->pools.emplace(service, slot_pool{slots}).first->second;
  }

  void complete(const std::shared_ptr<simulated_request>& pending, bool served) {
    if (pending->done) {
      return;
    }
    pending->done = true;
    this->recorder.on_end(*pending, served, this->events.now());
  }

  const scenario& input;
  policy selected_policy;
  std::mt19937_64 random;
  event_queue events;
  run_recorder recorder;
  std::uint64_t next_id{0};
  std::map<failure_domain_id, region_id> regions;
  std::map<backend_id, simulated_server> servers;
  /// Routes by the name of the request class.
  std::map<std::string, route> routes;
  std::vector<entry> entries;
  /// Requests in the wait queues of entry nodes, by request id.
  std::map<std::uint64_t, std::shared_ptr<simulated_request>> queued_requests;
  /// For `policy::pooled_bound`.
  std::map<service_id, slot_pool> pools;
  double load_factor{1};
};

}  // namespace
}  // namespace impl

simulation_result simulate(const scenario& input, policy selected_policy, std::uint64_t seed) {
  return impl::simulation{input, selected_policy, seed}.run();
}

}  // namespace zinnia::bench
