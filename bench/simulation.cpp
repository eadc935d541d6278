// The event loop of the simulated world.
#include "simulation.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

#include "zinnia/core/rendezvous.hpp"

namespace zinnia::bench {
namespace impl {
namespace {

constexpr double us_per_ms = 1000;
constexpr double us_per_s = 1e6;
constexpr double review_ms = 40;
constexpr double tick_ms = 25;
constexpr double shift_window_s = 2;
constexpr double work_spread = 0.15;

/// Simulated time in microseconds, so that short delays are not rounded away.
using sim_time = std::int64_t;

[[nodiscard]] sim_time from_ms(double ms) {
  return static_cast<sim_time>(std::llround(ms * us_per_ms));
}

struct server;

struct request {
  std::uint64_t id{0};
  const request_class* kind{nullptr};
  failure_domain_id domain;
  std::uint64_t object{0};
  sim_time first_asked{0};
  sim_time deadline{0};
  int tries{0};
  bool done{false};
  std::vector<backend_id> tried;
  placement_decision decision;
  sim_time sent{0};
  std::size_t entry{0};
};

struct server {
  backend_id id;
  service_id service;
  failure_domain_id domain;
  int running{0};
  std::vector<std::shared_ptr<request>> waiting;
  lru_object_set memory;
  double slowness{1};
  bool lost{false};
};

struct entry {
  location where;
  std::unique_ptr<backend_table> table;
};

class world {
 public:
  world(const scenario& what_in, policy which_in, std::uint64_t seed)
      : what{what_in}, which{which_in}, random{seed} {
    this->build();
  }

  [[nodiscard]] outcome run() {
    for (std::size_t i = 0; i < this->what.classes.size(); ++i) {
      for (const auto& [domain, region] : this->regions) {
        this->schedule_arrival(this->what.classes[i], domain);
      }
    }
    for (const auto& event : this->what.events) {
      this->at(from_ms(event.at_s * 1000), [this, &event] { this->apply(event, true); });
      this->at(from_ms((event.at_s + event.for_s) * 1000), [this, &event] { this->apply(event, false); });
    }
    this->tick();
    while (!this->events.empty()) {
      auto next = std::move(const_cast<scheduled&>(this->events.top()));
      this->events.pop();
      this->now = next.when;
      next.action();
    }
    this->finish();
    return std::move(this->result);
  }

 private:
  struct scheduled {
    sim_time when;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const scheduled& other) const {
      return std::pair{this->when, this->order} > std::pair{other.when, other.order};
    }
  };

  void at(sim_time when, std::function<void()> action) {
    this->events.push({when, this->order++, std::move(action)});
  }
  [[nodiscard]] time_point clock() const { return {1'000'000 + this->now / 1000}; }
  [[nodiscard]] double uniform() { return std::uniform_real_distribution<>{0, 1}(this->random); }

  void build() {
    for (const auto& domain : this->what.tree.domains()) {
      this->regions.emplace(domain.id, domain.region);
    }
    routing_snapshot snapshot;
    snapshot.sequence = 1;
    snapshot.tree = std::make_shared<const settings_tree>(this->what.tree);
    for (const auto& group : this->what.servers) {
      snapshot.services[group.service] = {group.service, "/health", 1000, 0};
      for (int i = 0; i < group.count; ++i) {
        backend_declaration backend;
        backend.id = backend_id{group.service.str() + "-" + group.domain.str() + "-" + std::to_string(i)};
        backend.service = group.service;
        backend.domain = group.domain;
        backend.slots = this->what.slots;
        snapshot.backends.emplace(backend.id, backend);
        this->servers[backend.id] = {backend.id, backend.service, backend.domain, 0, {}, {}, 1, false};
      }
    }
    for (const auto& kind : this->what.classes) {
      route rule;
      rule.name = kind.name;
      rule.prefix = "/" + kind.name + "/";
      rule.priority = kind.priority;
      rule.target_latency = {kind.aim_ms};
      this->rules.emplace(kind.name, rule);
    }
    for (const auto& [domain, region] : this->regions) {
      for (int i = 0; i < this->what.entries_per_domain; ++i) {
        entry made{{domain, region},
                   std::make_unique<backend_table>(location{domain, region}, this->regions)};
        made.table->apply(snapshot, this->clock());
        this->entries.push_back(std::move(made));
      }
    }
  }

  [[nodiscard]] double delay_ms(const failure_domain_id& a, const failure_domain_id& b) const {
    if (a == b) {
      return 0.2;
    }
    return this->regions.at(a) == this->regions.at(b) ? this->what.domain_delay_ms
                                                      : this->what.region_delay_ms;
  }

  void apply(const scenario_event& event, bool begins) {
    if (event.kind == event_kind::burst) {
      this->load_factor = begins ? event.factor : 1;
      return;
    }
    for (auto& [id, target] : this->servers) {
      if (target.domain != event.domain) {
        continue;
      }
      if (event.kind == event_kind::slow) {
        target.slowness = begins ? event.factor : 1;
      } else {
        target.lost = begins;
        target.memory.clear();
        for (auto& one : this->entries) {
          const auto seen = one.table->find(id);
          if (begins) {
            seen->suspend(duration{0}, this->clock());
          } else {
            seen->on_health_check(true, duration{0}, this->clock());
          }
        }
      }
    }
  }

  void schedule_arrival(const request_class& kind, const failure_domain_id& domain) {
    const double phase = static_cast<double>(stable_hash(this->regions.at(domain).str()) % 100) / 100;
    const double wave =
        1 + this->what.swing * std::sin(2 * M_PI * (static_cast<double>(this->now) / us_per_s / 36 + phase));
    const double rate = std::max(kind.per_second_and_domain * wave * this->load_factor, 0.01);
    const double gap_ms = -std::log(1 - this->uniform()) * 1000 / rate;
    const auto when = this->now + from_ms(gap_ms);
    if (when > from_ms(this->what.length_s * 1000)) {
      return;
    }
    this->at(when, [this, &kind, domain] {
      this->arrive(kind, domain);
      this->schedule_arrival(kind, domain);
    });
  }

  void arrive(const request_class& kind, const failure_domain_id& domain) {
    auto made = std::make_shared<request>();
    made->id = ++this->next_id;
    made->kind = &kind;
    made->domain = domain;
    // Objects belong to a region; its failure domains ask for the same ones.
    made->object = stable_hash(kind.name + this->regions.at(domain).str() +
                               std::to_string(static_cast<int>(this->uniform() * kind.objects)));
    made->first_asked = this->now;
    made->deadline = this->now + from_ms(static_cast<double>(kind.deadline_ms));
    ++this->result.asked;
    this->result.owed += kind.worth;
    this->result.by_class[kind.name].second += kind.worth;
    this->result.by_domain[domain.str()].second += kind.worth;
    if (this->which == policy::pooled) {
      this->pool(made);
      return;
    }
    this->ask(made);
  }

  void ask(const std::shared_ptr<request>& made) {
    std::vector<std::size_t> near;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      if (this->entries[i].where.domain == made->domain) {
        near.push_back(i);
      }
    }
    made->entry = near[static_cast<std::size_t>(this->uniform() * static_cast<double>(near.size()))];
    ++made->tries;
    this->at(this->now + from_ms(this->what.caller_delay_ms), [this, made] { this->place_request(made); });
  }

  [[nodiscard]] placement_decision decide(const request& made) {
    auto& table = *this->entries[made.entry].table;
    placement_request asked;
    asked.matched_route = &this->rules.at(made.kind->name);
    asked.service = made.kind->service;
    asked.object = made.object;
    asked.repeatable = made.kind->repeatable;
    asked.deadline = {1'000'000 + made.deadline / 1000};
    asked.tried = &made.tried;
    if (this->which == policy::ours || this->which == policy::one_home) {
      return table.choose(asked, this->clock());
    }
    return this->baseline(table, made);
  }

  [[nodiscard]] placement_decision baseline(const backend_table& table, const request& made) {
    std::vector<std::shared_ptr<backend_state>> usable;
    for (const auto& backend : table.all()) {
      if (backend->declared().service == made.kind->service && table.is_eligible(*backend, this->clock())) {
        usable.push_back(backend);
      }
    }
    placement_decision decision;
    if (usable.empty()) {
      return decision;
    }
    const auto any = [&] {
      return usable[static_cast<std::size_t>(this->uniform() * static_cast<double>(usable.size()))];
    };
    const auto load = [&](const auto& backend) { return backend->load(this->clock()); };
    decision.action = placement_action::send;
    decision.target = any();
    if (this->which == policy::two_choices) {
      const auto other = any();
      decision.target = load(other) < load(decision.target) ? other : decision.target;
    }
    if (this->which == policy::least_load) {
      std::shuffle(usable.begin(), usable.end(), this->random);
      decision.target = *std::min_element(usable.begin(), usable.end(),
                                          [&](const auto& a, const auto& b) { return load(a) < load(b); });
    }
    decision.load = load(decision.target);
    decision.expected_total = duration{100};
    return decision;
  }

  void place_request(const std::shared_ptr<request>& made) {
    if (this->now >= made->deadline) {
      this->end(made, false);
      return;
    }
    made->decision = this->decide(*made);
    switch (made->decision.action) {
      case placement_action::send:
        this->send(made);
        return;
      case placement_action::wait:
        this->tickets[made->id] = made;
        made->decision.target->queue.push(
            {made->id, made->kind->priority, this->clock(),
             this->clock() + (made->decision.expected_total - made->decision.expected_work) +
                 duration{static_cast<std::int64_t>(review_ms)}});
        return;
      case placement_action::refuse:
        this->refuse(made);
    }
  }

  void refuse(const std::shared_ptr<request>& made) {
    const double left_ms = static_cast<double>(made->deadline - this->now) / us_per_ms;
    const double wait_ms = std::min(static_cast<double>(made->decision.retry_after.ms), left_ms * 0.3);
    if (made->tries < 2 && left_ms > 0) {
      this->at(this->now + from_ms(wait_ms + 2 * this->what.caller_delay_ms),
               [this, made] { this->ask(made); });
      return;
    }
    ++this->result.refused;
    made->done = true;
  }

  void send(const std::shared_ptr<request>& made) {
    made->sent = this->now;
    made->decision.target->on_sent(this->clock());
    auto& target = this->servers.at(made->decision.target->declared().id);
    const auto delay = from_ms(this->delay_ms(this->entries[made->entry].where.domain, target.domain));
    this->at(this->now + delay, [this, made, &target, delay] {
      if (target.lost) {
        return;
      }
      this->count_place(*made, target);
      if (target.running < this->what.slots) {
        this->start(made, target);
      } else if (static_cast<int>(target.waiting.size()) < this->what.queue) {
        target.waiting.push_back(made);
      } else {
        this->at(this->now + delay, [this, made, &target] { this->answer(made, target, false, false); });
      }
    });
  }

  void start(const std::shared_ptr<request>& made, server& target) {
    ++target.running;
    const bool warm = target.memory.contains(made->object);
    target.memory.touch(made->object, static_cast<std::size_t>(std::max(this->what.remembered, 1)));
    ++this->result.runs;
    this->result.warm_runs += warm ? 1 : 0;
    const double noise = std::max(0.3, 1 + work_spread * std::normal_distribution<>{}(this->random));
    const double work =
        made->kind->work_ms * noise * (warm ? 1 - made->kind->warm_gain : 1) * target.slowness;
    this->at(this->now + from_ms(work), [this, made, &target] {
      --target.running;
      while (!target.waiting.empty() && target.running < this->what.slots) {
        const auto next = target.waiting.front();
        target.waiting.erase(target.waiting.begin());
        if (next->deadline > this->now) {
          this->start(next, target);
        }
      }
      const auto delay = from_ms(this->delay_ms(this->entries[made->entry].where.domain, target.domain));
      this->at(this->now + delay, [this, made, &target] { this->answer(made, target, true, true); });
    });
  }

  void answer(const std::shared_ptr<request>& made, server& target, bool served, bool ran) {
    auto& table = *this->entries[made->entry].table;
    const auto backend = made->decision.target;
    const duration took{(this->now - made->sent) / 1000};
    backend->on_report({target.running, static_cast<int>(target.waiting.size()), this->what.slots},
                       this->clock());
    backend->on_ended(served ? backend_outcome::responded : backend_outcome::shed, took,
                      made->decision.expected_total, this->clock());
    if (served) {
      auto& estimate = table.estimate(this->rules.at(made->kind->name), made->kind->service);
      estimate.record_response_size(made->kind->answer_kib);
      if (made->decision.load < this->what.slots) {
        const auto work =
            static_cast<double>(std::max<std::int64_t>((took - table.round_trip(*backend)).ms, 1));
        estimate.record_work_time(made->decision.expected_warmth, work);
        table.record_service_time(made->kind->service, work);
      }
      backend->objects.touch(made->object, table.settings_of(made->kind->service).remembered_objects);
    }
    const double round_trip = 2 * this->delay_ms(this->entries[made->entry].where.domain, target.domain);
    table.record_round_trip(*backend, duration{static_cast<std::int64_t>(std::llround(round_trip))});
    if (served && ran) {
      this->at(this->now + from_ms(this->what.caller_delay_ms), [this, made] { this->end(made, true); });
    } else {
      made->tried.push_back(backend->declared().id);
      if (made->tried.size() < 2) {
        this->place_request(made);
      } else {
        this->refuse(made);
      }
    }
    this->pump(made->entry, backend);
  }

  void pump(std::size_t at_entry, const std::shared_ptr<backend_state>& backend) {
    auto& table = *this->entries[at_entry].table;
    while (!backend->queue.empty() && table.has_capacity(*backend, this->clock())) {
      const auto next = backend->queue.pop();
      const auto found = this->tickets.find(next->ticket);
      const auto made = found->second;
      this->tickets.erase(found);
      if (this->now < made->deadline) {
        this->send(made);
      } else {
        this->end(made, false);
      }
    }
  }

  void tick() {
    double free = 0;
    double all = 0;
    for (const auto& [id, target] : this->servers) {
      free += this->what.slots - target.running;
      all += this->what.slots;
    }
    this->result.headroom += free / all;
    ++this->ticks;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
      for (const auto& backend : this->entries[i].table->all()) {
        if (backend->queue.empty()) {
          continue;
        }
        this->pump(i, backend);
        while (const auto due = backend->queue.pop_for_reselection(this->clock())) {
          const auto found = this->tickets.find(due->ticket);
          const auto made = found->second;
          this->tickets.erase(found);
          this->place_request(made);
        }
      }
    }
    if (this->now < from_ms(this->what.length_s * 1000)) {
      this->at(this->now + from_ms(tick_ms), [this] { this->tick(); });
    }
  }

  /// The bound: one queue for all slots of a service, every object remembered everywhere, no distance.
  void pool(const std::shared_ptr<request>& made) {
    auto& free_at = this->pools[made->kind->service];
    if (free_at.empty()) {
      for (const auto& [id, target] : this->servers) {
        if (target.service == made->kind->service) {
          for (int i = 0; i < this->what.slots; ++i) {
            free_at.insert(0);
          }
        }
      }
    }
    const auto first = *free_at.begin();
    const auto begin = std::max(first, this->now);
    const auto finish = begin + from_ms(made->kind->work_ms * (1 - made->kind->warm_gain));
    if (finish > made->deadline) {
      ++this->result.refused;
      return;
    }
    free_at.erase(free_at.begin());
    free_at.insert(finish);
    this->at(finish + from_ms(2 * this->what.caller_delay_ms), [this, made] { this->end(made, true); });
  }

  void end(const std::shared_ptr<request>& made, bool served) {
    if (made->done) {
      return;
    }
    made->done = true;
    if (!served || this->now > made->deadline) {
      ++this->result.failed;
      return;
    }
    const double took = static_cast<double>(this->now - made->first_asked) / us_per_ms;
    const bool in_aim = took <= static_cast<double>(made->kind->aim_ms);
    const double credit = in_aim ? made->kind->worth : made->kind->late_worth;
    (in_aim ? this->result.in_aim : this->result.late) += 1;
    this->result.credit += credit;
    this->result.by_class[made->kind->name].first += credit;
    this->result.by_domain[made->domain.str()].first += credit;
    this->result.latencies_ms.push_back(took);
  }

  void count_place(const request& made, const server& target) {
    const auto window = static_cast<std::int64_t>(static_cast<double>(this->now) / us_per_s / shift_window_s);
    ++this->places[this->regions.at(made.domain).str()][window][this->regions.at(target.domain).str()];
  }

  void finish() {
    std::sort(this->result.latencies_ms.begin(), this->result.latencies_ms.end());
    this->result.headroom /= std::max(this->ticks, 1);
    for (const auto& [from, windows] : this->places) {
      const std::map<std::string, int>* before = nullptr;
      for (const auto& [window, counts] : windows) {
        if (before != nullptr) {
          this->result.largest_shift = std::max(this->result.largest_shift, moved_part(*before, counts));
        }
        before = &counts;
      }
    }
  }

  const scenario& what;
  policy which;
  std::mt19937_64 random;
  sim_time now{0};
  std::uint64_t order{0};
  std::uint64_t next_id{0};
  std::priority_queue<scheduled> events;
  std::map<failure_domain_id, region_id> regions;
  std::map<backend_id, server> servers;
  std::map<std::string, route> rules;
  std::vector<entry> entries;
  std::map<std::uint64_t, std::shared_ptr<request>> tickets;
  std::map<service_id, std::multiset<sim_time>> pools;
  std::map<std::string, std::map<std::int64_t, std::map<std::string, int>>> places;
  double load_factor{1};
  int ticks{0};
  outcome result;
};

}  // namespace
}  // namespace impl

outcome play(const scenario& what, policy which, std::uint64_t seed) {
  return impl::world{what, which, seed}.run();
}

}  // namespace zinnia::bench
