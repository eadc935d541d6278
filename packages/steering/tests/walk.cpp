// The walk: nodes, a store, a network and backend servers reduced to queues and counters.
#include "walk.hpp"

#include <algorithm>
#include <iostream>

#include "zinnia/settings/settings_document.hpp"

namespace zinnia::walks {
namespace {

constexpr std::int64_t step_ms = 10;
constexpr std::int64_t longest_deadline_ms = 300;
constexpr std::int64_t slots_per_upstream = 3;
constexpr std::int64_t key_count = 200;
constexpr std::int64_t bucket_count = 2;
constexpr lease_terms terms{{50}, {400}, {30}};

const service_id desk{"desk"};
const region_id near_region{"near"};
const region_id far_region{"far"};

[[nodiscard]] std::string tree_text(std::int64_t cap, const std::string& outage) {
  return "tree: walk\nkey_buckets: " + std::to_string(bucket_count) +
         "\nsettings: {longest_deadline_ms: 300, default_deadline_ms: 300, lookup_lifetime_ms: 100, "
         "ramp_interval_ms: 100, ramp_step_percent: 50, store_outage: " +
         outage +
         "}\n"
         "places:\n  near: {domains: {near-a: {}, near-b: {}}}\n  far: {domains: {far-a: {}, far-b: {}}}\n"
         "services:\n  desk:\n    regions:\n"
         "      near: {domains: {near-a: {upstreams: ['u:1', 'u:2']}, near-b: {upstreams: ['u:3', 'u:4']}}}\n"
         "      far: {domains: {far-a: {upstreams: ['v:1']}, far-b: {upstreams: ['v:2']}}}\n"
         "links:\n  - {from: near, to: far, delay_ms: 5, capacity: 20, caps: {desk: " +
         std::to_string(cap) + "}}\n";
}

/// The platform's store: objects by key, each write under a version.
struct store_state {
  struct object {
    object_version version;
    std::string value;
  };
  std::map<std::string, object> objects;
  std::int64_t newest{0};
  bool down{false};

  [[nodiscard]] store_outcome put(const std::string& key, const std::string& value, object_version expected,
                                  object_version& version) {
    const auto found = this->objects.find(key);
    const auto current = found == this->objects.end() ? object_version{} : found->second.version;
    if (current != expected) {
      version = current;
      return store_outcome::conflict;
    }
    version = object_version{++this->newest};
    this->objects[key] = {version, value};
    return store_outcome::ok;
  }
};

struct keyed_run {
  key_name name;
  request_id request;
  std::int64_t give_up_ms{0};
};

struct flight {
  std::uint64_t number{0};
  slot_grant grant;
  std::int64_t ends_ms{0};
  std::optional<keyed_run> keyed;
};

struct shift_flight {
  share_key key;
  std::int64_t ends_ms{0};
};

struct home_state {
  std::unique_ptr<key_home> home;
  epoch held_since;
  bool recovering{false};
  bool closing{false};
  std::vector<keyed_run> waiting;
  std::int64_t running{0};
  bool write_open{false};
};

class node;

/// A thing that happens at a given time.
struct event {
  std::int64_t at_ms{0};
  std::uint64_t order{0};
  std::function<void()> act;

  friend bool operator<(const event& a, const event& b) {
    return std::tie(a.at_ms, a.order) < std::tie(b.at_ms, b.order);
  }
};

class world {
 public:
  explicit world(const walk_options& given) : options{given}, random{given.seed} {}

  [[nodiscard]] walk_result run();

  // For nodes.
  [[nodiscard]] std::int64_t pick(std::int64_t below) {
    return static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(below));
  }
  [[nodiscard]] bool chance(std::int64_t per_thousand) { return this->pick(1000) < per_thousand; }
  void later(std::int64_t delay_ms, std::function<void()> act) {
    this->events.insert({this->now_ms + delay_ms, this->next_order++, std::move(act)});
  }
  void trace(const std::string& what) const {
    if (this->options.trace) {
      std::cout << this->now_ms << "  " << what << '\n';
    }
  }
  void fail(const std::string& what) {
    if (this->found.violation.empty()) {
      this->found.violation = what;
      this->found.at_ms = this->now_ms;
    }
  }
  void send(const node_id& from, const node_id& to, const peer_message& message);
  void check_holders();

  walk_options options;
  std::mt19937_64 random;
  std::int64_t now_ms{100'000};
  store_state store;
  walk_result found;
  /// What physically runs at each upstream, whoever sent it.
  std::map<upstream_id, std::int64_t> at_upstream;
  std::map<share_key, std::int64_t> on_link;
  std::map<key_name, std::int64_t> key_runs;
  std::set<request_id> refused;
  /// Caps that were in force lately, with when they ceased to be.
  std::int64_t cap{6};
  std::int64_t former_cap{6};
  std::int64_t cap_changed_ms{0};
  /// Sum of the shares in the table.
  std::int64_t granted{0};

 private:
  void start();
  void play_script();
  void play(const scripted_fault& fault);
  void cut_peers(const node_id& id, std::int64_t for_ms);
  void look_at_the_end();
  void disturb();
  void disturb_store();
  void disturb_nodes();
  void edit_settings();
  void write_vm_list();

  std::set<event> events;
  std::uint64_t next_order{0};
  std::vector<std::unique_ptr<node>> nodes;
  std::set<std::pair<node_id, node_id>> cuts;
  std::string outage{"refuse"};
};

/// One node: its machine, its traffic side, and whether it lives.
class node final : public occupancy {
 public:
  node(world& around, std::string name, region_id region, std::string domain, std::int64_t clock_offset)
      : w{around},
        id{std::move(name)},
        home_region{std::move(region)},
        home_domain{std::move(domain)},
        offset{clock_offset} {}

  void start() {
    this->alive = true;
    this->stopping = false;
    ++this->generation;
    this->w.trace(this->id.str() + " starts");
    this->ledger = {};
    this->gate = {};
    this->homes.clear();
    const node_identity identity{this->id,
                                 this->home_region,
                                 failure_domain_id{this->home_domain},
                                 incarnation_id{this->id.str() + '#' + std::to_string(this->generation)},
                                 "c:1",
                                 "p:1"};
    this->machine = std::make_unique<node_machine>(identity, terms, *this, this->w.random());
  }

  void crash() {
    this->w.trace(this->id.str() + " ends");
    this->alive = false;
    this->machine.reset();
  }

  [[nodiscard]] bool store_in_reach() const {
    return !this->w.store.down && this->w.now_ms >= this->store_cut_until_ms;
  }
  [[nodiscard]] bool runs() const { return this->alive && this->w.now_ms >= this->paused_until_ms; }
  [[nodiscard]] time_point now() const {
    return {this->w.now_ms + this->offset + this->w.now_ms * this->rate_per_thousand / 1000};
  }

  void step() {
    if (!this->runs()) {
      return;
    }
    // A thread of the traffic side may run before the control thread does, also right after a pause.
    if (this->w.chance(500)) {
      this->traffic();
    }
    this->machine->tick(this->now(), this->w.now_ms);
    this->settle();
    if (this->w.chance(200)) {
      this->see_objects();
    }
    this->journal();
    this->traffic();
    if (this->machine->has_left()) {
      this->crash();
    }
  }

  void receive(const node_id& from, const peer_message& message) {
    if (this->runs()) {
      this->machine->receive(this->now(), from, message);
      this->settle();
    }
  }

  // occupancy
  [[nodiscard]] bool is_idle(const holding_id& holding) const override {
    const auto bucket = bucket_of(holding);
    if (bucket >= 0) {
      return !this->homes.contains(bucket);
    }
    const upstream_id upstream{holding.str().substr(holding.str().rfind('/') + 1)};
    return this->ledger.in_use(desk, upstream) == 0;
  }
  [[nodiscard]] std::int64_t in_flight(const share_key& key) const override {
    return this->gate.in_flight(key);
  }
  [[nodiscard]] std::vector<service_load> loads(time_point at) const override {
    return this->ledger.loads(at);
  }
  [[nodiscard]] bool is_journal_behind() const override {
    return std::any_of(this->homes.begin(), this->homes.end(),
                       [](const auto& entry) { return entry.second.home->is_behind(); });
  }
  [[nodiscard]] std::int64_t total_in_flight() const override {
    std::int64_t sum = this->ledger.total_in_use();
    for (const auto& [bucket, home] : this->homes) {
      sum += home.running + static_cast<std::int64_t>(home.waiting.size());
    }
    return sum;
  }

  world& w;
  node_id id;
  region_id home_region;
  std::string home_domain;
  std::int64_t offset;
  std::int64_t rate_per_thousand{0};
  bool alive{false};
  bool stopping{false};
  int generation{0};
  std::int64_t paused_until_ms{0};
  std::int64_t store_cut_until_ms{0};
  bool vm_lost{false};
  std::unique_ptr<node_machine> machine;
  object_version settings_seen;

 private:
  // Everything that a fact in flight must check: is the process that asked still the one that runs?
  [[nodiscard]] std::function<bool()> same_process() {
    return [this, asked = this->generation] { return this->alive && this->generation == asked; };
  }

  /// Runs an answer once the process is not paused any more.
  void when_running(const std::function<bool()>& same, const std::function<void()>& act) {
    if (!same()) {
      return;
    }
    if (!this->runs()) {
      this->w.later(step_ms, [this, same, act] { this->when_running(same, act); });
      return;
    }
    act();
  }

  void settle() {
    this->apply_view();
    for (const auto& action : this->machine->take_actions()) {
      if (const auto* const send = std::get_if<send_action>(&action)) {
        this->w.send(this->id, send->to, send->message);
      } else if (const auto* const read = std::get_if<read_action>(&action)) {
        this->read(read->key);
      } else if (const auto* const write = std::get_if<write_action>(&action)) {
        this->write(*write);
      }
    }
  }

  /// Store calls of one node go one after the other, so the next begins when this one has been answered.
  struct call_times {
    std::int64_t taken_ms{0};
    std::int64_t answered_ms{0};
  };
  [[nodiscard]] call_times next_call() {
    const auto begins = std::max(this->w.now_ms, this->store_free_ms) - this->w.now_ms;
    const call_times times{begins + this->w.pick(15), this->w.pick(15)};
    this->store_free_ms = this->w.now_ms + times.taken_ms + times.answered_ms;
    return times;
  }

  void read(const std::string& key) {
    const auto same = this->same_process();
    const auto times = this->next_call();
    this->w.later(times.taken_ms, [this, key, same, times] {
      auto outcome = store_outcome::not_found;
      store_state::object object;
      const auto found = this->w.store.objects.find(key);
      if (!this->store_in_reach()) {
        outcome = store_outcome::unavailable;
      } else if (found != this->w.store.objects.end()) {
        outcome = store_outcome::ok;
        object = found->second;
      }
      this->w.later(times.answered_ms, [this, key, same, outcome, object] {
        this->when_running(same, [this, key, outcome, object] {
          this->machine->object_read(this->now(), key, outcome, object.version, object.value);
          this->settle();
        });
      });
    });
  }

  void write(const write_action& action) {
    const auto same = this->same_process();
    const auto sent = this->now();
    const bool lost = this->w.options.store_faults && this->w.chance(60);
    const auto times = this->next_call();
    this->w.later(times.taken_ms, [this, action, same, sent, lost, times] {
      object_version version;
      auto outcome = store_outcome::unavailable;
      if (this->store_in_reach()) {
        outcome = this->w.store.put(action.key, action.value, action.expected, version);
        this->w.check_holders();
      }
      if (lost && outcome != store_outcome::unavailable) {
        outcome = store_outcome::unknown;
      }
      this->w.trace(this->id.str() + " writes table, outcome " + std::to_string(static_cast<int>(outcome)) +
                    " version " + std::to_string(version.count()) + ' ' + action.value);
      this->w.later(times.answered_ms, [this, action, same, sent, outcome, version] {
        this->when_running(same, [this, action, sent, outcome, version] {
          this->machine->object_written(this->now(), action.key, outcome, version, sent);
          this->settle();
        });
      });
    });
  }

  void see_objects() {
    if (!this->store_in_reach() || !this->machine->should_watch()) {
      return;
    }
    std::vector<known_object> seen;
    for (const auto& [key, object] : this->w.store.objects) {
      if (key.starts_with(control_prefix)) {
        seen.push_back({key, object.version});
      }
    }
    this->machine->objects_seen(seen);
    this->settle();
  }

  void apply_view() {
    const auto& view = this->machine->view();
    if (view.settings_version < this->settings_seen && this->generation == this->settings_generation) {
      this->w.fail("settings version fell at " + this->id.str());
    }
    this->settings_seen = view.settings_version;
    this->settings_generation = this->generation;
    if (view.settings != nullptr) {
      this->ledger.set_service(desk, view.settings->effective(desk, this->home_region).values);
      const share_key key{far_region, desk};
      const auto share = view.shares.find(key);
      if (this->home_region == near_region) {
        this->gate.set_limit(key, share == view.shares.end() ? 0 : share->second, {50, {100}});
      }
    }
    this->ledger.set_valid_until(view.valid_until);
    this->ledger.set_upstreams(view.upstreams);
    this->gate.set_valid_until(view.valid_until);
    for (const auto& wakeup : this->ledger.poll(this->now())) {
      if (const auto* const grant = std::get_if<slot_grant>(&wakeup.decision)) {
        this->dispatch(*grant, std::nullopt);
      }
    }
    this->apply_buckets(view);
  }

  void apply_buckets(const traffic_view& view) {
    for (auto& [bucket, home] : this->homes) {
      home.closing = true;
    }
    for (const auto& held : view.buckets) {
      const auto found = this->homes.find(held.bucket);
      if (found != this->homes.end() && found->second.held_since != held.held_since) {
        if (found->second.running > 0 || !found->second.waiting.empty() || found->second.write_open) {
          continue;
        }
        this->homes.erase(found);
      }
      auto& home = this->homes[held.bucket];
      if (home.home == nullptr) {
        home.held_since = held.held_since;
        home.home = std::make_unique<key_home>(held.held_since, held.blind_before_unix_ms,
                                               this->id.str() + std::to_string(this->generation) + '/' +
                                                   std::to_string(held.held_since.count()));
      }
      home.closing = false;
      home.home->set_deferral_allowed(view.deferral_allowed);
    }
    std::erase_if(this->homes, [](const auto& entry) {
      const auto& home = entry.second;
      const bool written = home.home->is_fenced() || !home.home->is_active() || !home.home->has_unwritten();
      return home.closing && home.running == 0 && home.waiting.empty() && !home.write_open && written;
    });
  }

  // Keys.

  [[nodiscard]] std::string journal_key(std::int64_t bucket, std::int64_t sequence) const {
    return "journal/" + this->home_region.str() + '/' + std::to_string(bucket) + '/' +
           std::to_string(1'000'000 + sequence);
  }

  void recover(std::int64_t bucket, home_state& home) {
    if (!this->store_in_reach()) {
      return;
    }
    home.recovering = true;
    const auto prefix = this->journal_key(bucket, 0).substr(0, this->journal_key(bucket, 0).rfind('/') + 1);
    for (auto at = this->w.store.objects.lower_bound(prefix);
         at != this->w.store.objects.end() && at->first.starts_with(prefix); ++at) {
      home.home->restore(*decode_journal_batch(at->second.value));
    }
    home.home->finish_restore();
  }

  void journal() {
    for (auto& [bucket, home] : this->homes) {
      if (!home.recovering) {
        this->recover(bucket, home);
      }
      if (home.write_open || !home.recovering) {
        continue;
      }
      if (auto batch = home.home->next_batch()) {
        home.write_open = true;
        this->write_batch(bucket, *batch);
      }
      this->serve_waiting(home);
    }
  }

  void write_batch(std::int64_t bucket, const journal_batch& batch) {
    const auto same = this->same_process();
    const bool lost = this->w.options.store_faults && this->w.chance(60);
    this->w.later(this->w.pick(20), [this, bucket, batch, same, lost] {
      object_version version;
      auto outcome = store_outcome::unavailable;
      const auto key = this->journal_key(bucket, batch.sequence);
      std::string existing;
      if (this->store_in_reach()) {
        outcome = this->w.store.put(key, encode(batch), object_version{}, version);
        existing = this->w.store.objects.at(key).value;
      }
      if (lost && outcome != store_outcome::unavailable) {
        outcome = store_outcome::unknown;
      }
      this->w.later(this->w.pick(20), [this, bucket, batch, same, outcome, existing] {
        this->when_running(same, [this, bucket, batch, outcome, existing] {
          this->batch_settled(bucket, batch, outcome, existing);
        });
      });
    });
  }

  void batch_settled(std::int64_t bucket, const journal_batch& batch, store_outcome outcome,
                     const std::string& existing) {
    auto& home = this->homes.at(bucket);
    this->w.trace(this->id.str() + " batch " + std::to_string(bucket) + '/' + std::to_string(batch.sequence) +
                  " outcome " + std::to_string(static_cast<int>(outcome)) + " records " +
                  std::to_string(batch.records.size()));
    switch (outcome) {
      case store_outcome::ok:
        home.home->batch_written();
        break;
      case store_outcome::conflict:
        home.home->batch_conflicts(*decode_journal_batch(existing));
        break;
      case store_outcome::unknown:
        home.home->batch_unsettled();
        break;
      default:
        home.home->batch_not_written();
        break;
    }
    home.write_open = false;
    this->serve_waiting(home);
  }

  void ask_with_key() {
    key_request request;
    const auto number = this->w.pick(key_count);
    request.name = {desk, idempotency_key{"near." + std::to_string(number)}};
    const auto bucket = bucket_for(request.name, bucket_count);
    const auto found = this->homes.find(bucket);
    if (found == this->homes.end() || found->second.closing) {
      return;
    }
    request.request = request_id{this->id.str() + '/' + std::to_string(this->w.random())};
    request.fingerprint = static_cast<std::uint64_t>(number);
    request.now_unix_ms = this->w.now_ms;
    request.window_ms = 3'600'000;
    const auto& settings = this->machine->view().settings;
    request.on_outage = settings->effective(desk).values.on_store_outage();
    const auto decision = found->second.home->begin(request);
    this->w.trace(this->id.str() + " asked " + request.name.key.str() + " step " +
                  std::to_string(static_cast<int>(decision.step)) + ' ' + std::string{to_word(decision.why)} +
                  " epoch " + std::to_string(found->second.held_since.count()));
    const keyed_run run{request.name, request.request, this->w.now_ms + longest_deadline_ms};
    if (decision.step == key_step::refuse && decision.known == verdict::did_not_run) {
      this->refuse(found->second, run);
    } else if (decision.step == key_step::wait_for_journal || decision.step == key_step::dispatch) {
      found->second.waiting.push_back(run);
    }
  }

  /// Tells a caller "did not run", unless another home may have taken over.
  void refuse(const home_state& home, const keyed_run& run) {
    this->w.refused.insert(run.request);
    const bool is_home = !home.home->is_fenced() && this->now() < this->machine->view().valid_until;
    if (!is_home) {
      return;
    }
    ++this->w.found.did_not_run_refusals;
    if (this->w.key_runs[run.name] > 0) {
      this->w.fail("told 'did not run' for a key that ran: " + run.name.key.str());
    }
  }

  void serve_waiting(home_state& home) {
    auto waiting = std::exchange(home.waiting, {});
    for (const auto& run : waiting) {
      const auto decision = home.home->look(run.name, run.request);
      if (decision.step == key_step::refuse) {
        this->refuse(home, run);
      } else if (this->w.now_ms >= run.give_up_ms) {
        home.home->withdraw(run.name, run.request);
        this->refuse(home, run);
      } else if (decision.step != key_step::dispatch || !this->try_keyed(home, run)) {
        home.waiting.push_back(run);
      }
    }
  }

  [[nodiscard]] bool try_keyed(home_state& home, const keyed_run& run) {
    const time_point deadline{this->now().ms + run.give_up_ms - this->w.now_ms};
    const auto decision = this->ledger.request({0, desk, true, deadline, true, {}}, this->now());
    const auto* const grant = std::get_if<slot_grant>(&decision);
    if (grant == nullptr) {
      return false;
    }
    if (!home.home->mark_running(run.name, run.request)) {
      static_cast<void>(this->ledger.release(*grant, {1}, this->now()));
      return false;
    }
    ++home.running;
    this->dispatch(*grant, run);
    return true;
  }

  // Slots and shares.

  void traffic() {
    if (this->w.chance(150)) {
      const time_point deadline = this->now() + duration{longest_deadline_ms};
      const auto decision = this->ledger.request(
          {++this->next_waiter, desk, this->w.chance(300), deadline, true, {}}, this->now());
      if (const auto* const grant = std::get_if<slot_grant>(&decision)) {
        this->dispatch(*grant, std::nullopt);
      }
    }
    if (this->home_region == near_region && this->machine->view().settings != nullptr) {
      if (this->w.chance(400)) {
        this->ask_with_key();
      }
      this->shift();
    }
  }

  void dispatch(const slot_grant& grant, const std::optional<keyed_run>& keyed) {
    if (!this->ledger.may_send(grant, this->now())) {
      static_cast<void>(this->ledger.release(grant, {1}, this->now()));
      if (keyed) {
        this->end_keyed(*keyed, verdict::did_not_run);
      }
      return;
    }
    ++this->w.found.dispatches;
    this->w.found.outage_dispatches += this->w.store.down && this->home_region == near_region ? 1 : 0;
    this->w.trace(this->id.str() + " dispatches " + (keyed ? keyed->name.key.str() : "") + " to " +
                  grant.upstream.str() + " epoch " + std::to_string(grant.held_since.count()));
    if (keyed) {
      ++this->w.found.key_runs;
      if (++this->w.key_runs[keyed->name] > 1) {
        this->w.fail("key ran twice: " + keyed->name.key.str());
      }
      if (this->w.refused.contains(keyed->request)) {
        this->w.fail("ran after 'did not run': " + keyed->request.str());
      }
    }
    if (++this->w.at_upstream[grant.upstream] > slots_per_upstream) {
      this->w.fail("more requests than slots at " + grant.upstream.str() + ", sent by " + this->id.str());
    }
    const auto same = this->same_process();
    const auto took = 1 + this->w.pick(longest_deadline_ms - 1);
    this->w.later(took, [this, grant, keyed, same, took] {
      --this->w.at_upstream[grant.upstream];
      this->when_running(same, [this, grant, keyed, took] {
        for (const auto& wakeup : this->ledger.release(grant, {took}, this->now())) {
          if (const auto* const next = std::get_if<slot_grant>(&wakeup.decision)) {
            this->dispatch(*next, std::nullopt);
          }
        }
        if (keyed) {
          this->end_keyed(*keyed, this->w.chance(100) ? verdict::may_have_run : verdict::ran);
        }
      });
    });
  }

  void end_keyed(const keyed_run& run, verdict outcome) {
    auto& home = this->homes.at(bucket_for(run.name, bucket_count));
    --home.running;
    home.home->finish(run.name, run.request, outcome, {200, {}, "done", true});
  }

  void shift() {
    const share_key key{far_region, desk};
    if (!this->gate.try_enter(key, this->now())) {
      return;
    }
    ++this->w.found.shifted;
    const auto allowed = std::max({this->w.cap, this->w.former_cap, this->w.granted});
    if (++this->w.on_link[key] > allowed) {
      this->w.fail("more requests on the link than its cap");
    }
    const auto same = this->same_process();
    this->w.later(1 + this->w.pick(longest_deadline_ms - 1), [this, key, same] {
      --this->w.on_link[key];
      this->when_running(same, [this, key] { this->gate.leave(key); });
    });
  }

  std::int64_t store_free_ms{0};
  slot_ledger ledger;
  share_gate gate;
  std::map<std::int64_t, home_state> homes;
  std::uint64_t next_waiter{0};
  int settings_generation{0};
};

void world::send(const node_id& from, const node_id& to, const peer_message& message) {
  const bool cut = this->cuts.contains({from, to});
  if (cut || (this->options.cuts && this->chance(30))) {
    return;
  }
  const auto copies = this->options.cuts && this->chance(30) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const auto delay = this->options.cuts && this->chance(50) ? this->pick(300) : this->pick(20);
    this->later(delay, [this, from, to, message] {
      for (const auto& target : this->nodes) {
        if (target->id == to) {
          target->receive(from, message);
        }
      }
    });
  }
}

/// The table itself must keep its invariants, whoever wrote it.
void world::check_holders() {
  const auto stored = this->store.objects.find(holdings_key(near_region));
  if (stored == this->store.objects.end()) {
    return;
  }
  const auto table = decode_holdings_table(stored->second.value);
  const share_key key{far_region, desk};
  // A lowered cap takes a while where nodes are paused or the store is down; until then the sum must not
  // grow.
  const auto sum = table->share_sum(key);
  const bool grew = sum > this->granted;
  this->granted = sum;
  if (grew && sum > std::max(this->cap, this->former_cap)) {
    this->fail("shares in the table add up to more than the cap");
  }
  std::set<epoch> epochs;
  for (const auto& [holding, held] : table->holdings) {
    if (!epochs.insert(held.held_since).second) {
      this->fail("an epoch was given twice");
    }
  }
}

void world::write_vm_list() {
  std::string list = "{";
  for (const auto& entry : this->nodes) {
    if (!entry->vm_lost && (entry->alive || this->chance(300))) {
      list += (list.size() > 1 ? R"(,")" : R"(")") + entry->id.str() + R"(":"live")";
    }
  }
  object_version version;
  static_cast<void>(this->store.put(vm_list_key, list + "}",
                                    this->store.objects.contains(vm_list_key)
                                        ? this->store.objects.at(vm_list_key).version
                                        : object_version{},
                                    version));
}

void world::edit_settings() {
  // A cap is judged by what was in force while the requests that count against it began.
  if (this->now_ms - this->cap_changed_ms < 4'000) {
    return;
  }
  this->former_cap = this->cap;
  this->cap = 2 + this->pick(8);
  this->cap_changed_ms = this->now_ms;
  this->outage = this->chance(500) ? "serve" : "refuse";
  settings_document document{std::to_string(this->random()), "walk", tree_text(this->cap, this->outage), {}};
  if (this->chance(500)) {
    document.shifts.push_back({"s1", shift_kind::drain_upstream, "u:1", {}, {}, 100, 0});
  }
  this->trace("settings cap " + std::to_string(this->cap) + ' ' + this->outage);
  object_version version;
  const auto current = this->store.objects.at(settings_key).version;
  static_cast<void>(this->store.put(settings_key, encode(document), current, version));
}

void world::disturb_store() {
  if (this->chance(4) && !this->store.down) {
    this->store.down = true;
    this->trace("store down");
    this->later(50 + this->pick(2'500), [this] {
      this->store.down = false;
      this->trace("store up");
    });
  }
}

void world::disturb_nodes() {
  for (auto& entry : this->nodes) {
    auto* const target = entry.get();
    if (!target->alive) {
      continue;
    }
    if (this->options.pauses && this->chance(2)) {
      target->paused_until_ms = this->now_ms + 20 + this->pick(1'500);
      this->trace(target->id.str() + " pauses until " + std::to_string(target->paused_until_ms));
    }
    if (this->options.crashes && this->chance(1)) {
      target->crash();
      this->later(20 + this->pick(2'000), [target] { target->start(); });
    } else if (this->options.stops && !target->stopping && this->chance(1)) {
      target->stopping = true;
      target->machine->begin_leaving();
      this->later(1'500 + this->pick(2'000), [target] {
        if (!target->alive) {
          target->start();
        }
      });
    }
  }
}

void world::disturb() {
  if (this->options.store_faults) {
    this->disturb_store();
  }
  this->disturb_nodes();
  if (this->options.cuts && this->chance(4)) {
    const auto& a = this->nodes[static_cast<std::size_t>(this->pick(3))]->id;
    const auto& b = this->nodes[static_cast<std::size_t>(this->pick(5))]->id;
    this->cuts.insert({a, b});
    if (this->chance(500)) {
      this->cuts.insert({b, a});
    }
    this->later(50 + this->pick(2'000), [this] { this->cuts.clear(); });
  }
  if (this->options.edits && this->chance(3) && !this->store.down) {
    this->edit_settings();
  }
  if (this->chance(20) && !this->store.down) {
    this->write_vm_list();
  }
}

void world::cut_peers(const node_id& id, std::int64_t for_ms) {
  for (const auto& other : this->nodes) {
    this->cuts.insert({id, other->id});
    this->cuts.insert({other->id, id});
  }
  this->later(for_ms, [this, id] {
    std::erase_if(this->cuts, [&id](const auto& cut) { return cut.first == id || cut.second == id; });
  });
}

void world::play(const scripted_fault& fault) {
  auto& target = *this->nodes[fault.node];
  switch (fault.kind) {
    case scripted_fault::kind_type::store_down:
      this->store.down = true;
      this->later(fault.for_ms, [this] { this->store.down = false; });
      break;
    case scripted_fault::kind_type::store_cut:
      target.store_cut_until_ms = this->now_ms + fault.for_ms;
      break;
    case scripted_fault::kind_type::peers_cut:
      this->cut_peers(target.id, fault.for_ms);
      break;
    case scripted_fault::kind_type::pause:
      target.paused_until_ms = this->now_ms + fault.for_ms;
      break;
    case scripted_fault::kind_type::lose_vm:
      target.vm_lost = true;
      [[fallthrough]];
    case scripted_fault::kind_type::crash:
      if (target.alive) {
        target.crash();
      }
      if (fault.for_ms > 0) {
        this->later(fault.for_ms, [&target] { target.start(); });
      }
      break;
    case scripted_fault::kind_type::stop:
      target.machine->begin_leaving();
      break;
    case scripted_fault::kind_type::edit:
      this->edit_settings();
      break;
  }
}

void world::play_script() {
  for (const auto& fault : this->options.script) {
    this->later(fault.at_ms, [this, fault] { this->play(fault); });
  }
}

void world::look_at_the_end() {
  const auto newest = this->store.objects.at(settings_key).version;
  std::set<node_id> dispatching;
  for (const auto& entry : this->nodes) {
    if (!entry->alive) {
      continue;
    }
    ++this->found.live_nodes;
    this->found.current_nodes += entry->settings_seen == newest ? 1 : 0;
    if (entry->now() < entry->machine->view().valid_until) {
      dispatching.insert(entry->id);
    }
  }
  const auto table = this->store.objects.find(holdings_key(near_region));
  if (table == this->store.objects.end()) {
    return;
  }
  const auto last = decode_holdings_table(table->second.value);
  for (const auto& [holding, held] : last->holdings) {
    ++this->found.holdings;
    this->found.live_holdings += dispatching.contains(held.holder) ? 1 : 0;
    this->found.takeovers += held.unplanned ? 1 : 0;
  }
}

void world::start() {
  const settings_document document{"first", "walk", tree_text(this->cap, this->outage), {}};
  object_version version;
  static_cast<void>(this->store.put(settings_key, encode(document), object_version{}, version));
  const std::vector<std::pair<region_id, std::string>> places{{near_region, "near-a"},
                                                              {near_region, "near-b"},
                                                              {near_region, "near-a"},
                                                              {far_region, "far-a"},
                                                              {far_region, "far-b"}};
  for (std::size_t i = 0; i < places.size(); ++i) {
    this->nodes.push_back(std::make_unique<node>(*this, "n" + std::to_string(i), places[i].first,
                                                 places[i].second, this->pick(1'000'000)));
    this->nodes.back()->rate_per_thousand = this->pick(21) - 10;
    this->nodes.back()->start();
  }
  this->write_vm_list();
}

walk_result world::run() {
  this->start();
  this->play_script();
  for (std::int64_t step = 0; step < this->options.steps && this->found.violation.empty(); ++step) {
    this->now_ms += step_ms;
    while (!this->events.empty() && this->events.begin()->at_ms <= this->now_ms) {
      const auto act = this->events.begin()->act;
      this->events.erase(this->events.begin());
      act();
    }
    this->disturb();
    for (auto& entry : this->nodes) {
      entry->step();
    }
  }
  this->look_at_the_end();
  return this->found;
}

}  // namespace

walk_result run_walk(const walk_options& options) {
  return world{options}.run();
}

}  // namespace zinnia::walks
