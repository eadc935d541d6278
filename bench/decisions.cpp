// Compares how slots are given out: ours (holders, ledger, shares, placement), a random choice of upstream,
// and a fixed split of each upstream's slots over the entries. One service of one user, driven by the
// decision code itself with a clock of its own.
//
// Usage: decisions [--user kapur-jaya|brekke] [--seconds 60]
#include <algorithm>
#include <boost/program_options.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>

#include "zinnia/steering/placement.hpp"
#include "zinnia/steering/share_gate.hpp"
#include "zinnia/steering/slot_ledger.hpp"

namespace {

using namespace zinnia;

constexpr int regions = 3;
constexpr int entries_per_region = 3;
constexpr int upstreams_per_region = 8;
constexpr int slots_per_upstream = 3;
constexpr double mean_service_ms = 20.0;
constexpr std::int64_t deadline_ms = 2'000;
constexpr std::int64_t heartbeat_ms = 500;
constexpr std::size_t most_glances = 3;
/// Added to an entry's index when it was asked for a free slot only.
constexpr std::size_t glance_mark = 1'000;
const service_id desk{"desk"};

struct user {
  std::string name;
  std::int64_t region_delay_ms;
  std::int64_t latency_weight;
  std::int64_t headroom_weight;
  std::int64_t cap;
};

struct scenario {
  std::string name;
  double load{0.6};
  /// Load of region 0 as a multiple of its capacity; 0 keeps `load`.
  double surge{0};
  bool lose_region{false};
  bool drain_region{false};
  std::int64_t report_lag_ms{heartbeat_ms};
  /// Cap of each link, if not the user's.
  std::int64_t cap{0};
};

enum class policy : unsigned char { ours, random_upstream, fixed_split };

struct outcome {
  std::vector<double> latency_ms;
  std::int64_t refused{0};
  std::int64_t moved{0};
  std::int64_t over_slots{0};
  std::vector<double> least_headroom = std::vector<double>(regions, 1.0);
  std::int64_t drained_at_ms{-1};
};

/// An event queue with a clock in ms.
class timeline {
 public:
  void at(std::int64_t when, std::function<void()> act) { this->events.emplace(when, std::move(act)); }
  void after(std::int64_t delay, std::function<void()> act) {
    this->at(this->now_ms + delay, std::move(act));
  }
  void run_until(std::int64_t end) {
    while (!this->events.empty() && this->events.begin()->first <= end) {
      this->now_ms = this->events.begin()->first;
      const auto act = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      act();
    }
  }
  [[nodiscard]] time_point now() const { return {this->now_ms}; }

  std::int64_t now_ms{1'000};

 private:
  std::multimap<std::int64_t, std::function<void()>> events;
};

struct entry {
  int region{0};
  node_id id;
  slot_ledger ledger;
  share_gate gate;
  std::map<std::uint64_t, std::function<void(const slot_decision&)>> waiting;
  service_load reported;
  std::deque<std::pair<std::int64_t, service_load>> reports;
};

class field {
 public:
  field(user who, scenario given, policy how) : u{std::move(who)}, s{std::move(given)}, p{how} {
    this->u.cap = this->s.cap == 0 ? this->u.cap : this->s.cap;
    this->build();
  }

  [[nodiscard]] outcome run(std::int64_t seconds) {
    const std::int64_t end = seconds * 1000;
    for (std::size_t e = 0; e < this->entries.size(); ++e) {
      this->arrive(e, end);
    }
    this->time.after(heartbeat_ms, [this, end] { this->report(end); });
    if (this->s.drain_region) {
      // As far as the caps can take over, as the real drain does.
      const auto replaced = 2 * this->u.cap * static_cast<std::int64_t>(mean_service_ms) /
                            (static_cast<std::int64_t>(mean_service_ms) + 2 * this->u.region_delay_ms);
      const auto limit = this->p == policy::ours ? replaced / slots_per_upstream : upstreams_per_region;
      for (int step = 0; step < std::min<std::int64_t>(limit, upstreams_per_region); ++step) {
        this->time.at(end / 4 + std::int64_t{step} * 1'000, [this, step] { this->close_one(step); });
      }
    }
    this->time.run_until(end + 5'000);
    return this->found;
  }

 private:
  void build() {
    for (int r = 0; r < regions; ++r) {
      for (int e = 0; e < entries_per_region; ++e) {
        auto made = std::make_unique<entry>();
        made->region = r;
        made->id = node_id{"n" + std::to_string(r) + std::to_string(e)};
        made->ledger.set_valid_until(end_of_time);
        made->gate.set_valid_until(end_of_time);
        service_settings values;
        values.reserve_percent = 10;
        made->ledger.set_service(desk, values);
        for (int to = 0; to < regions; ++to) {
          made->gate.set_limit({region_id{std::to_string(to)}, desk}, this->u.cap / entries_per_region,
                               {25, duration{2'000}});
        }
        this->entries.push_back(std::move(made));
      }
      this->hold(r, 0);
    }
    this->in_use.assign(static_cast<std::size_t>(regions) * upstreams_per_region, 0);
  }

  /// Gives the upstreams of a region to its entries in turn; the first `shut` of them are closed.
  void hold(int r, int shut) {
    std::vector<std::vector<held_upstream>> held(entries_per_region);
    for (int i = 0; i < upstreams_per_region; ++i) {
      for (int e = 0; e < entries_per_region; ++e) {
        const bool mine = this->p == policy::fixed_split || i % entries_per_region == e;
        if (!mine) {
          continue;
        }
        held_upstream one;
        one.id = upstream_id{std::to_string(r * upstreams_per_region + i)};
        one.service = desk;
        one.slots =
            this->p == policy::fixed_split ? slots_per_upstream / entries_per_region : slots_per_upstream;
        one.held_since = epoch{1};
        one.closed = i < shut;
        held[static_cast<std::size_t>(e)].push_back(one);
      }
    }
    for (int e = 0; e < entries_per_region; ++e) {
      this->entries[static_cast<std::size_t>(r) * entries_per_region + static_cast<std::size_t>(e)]
          ->ledger.set_upstreams(held[static_cast<std::size_t>(e)]);
    }
  }

  void close_one(int step) {
    this->closed = step + 1;
    this->hold(0, this->closed);
    this->check_drained();
  }

  void check_drained() {
    int running = 0;
    for (int i = 0; i < upstreams_per_region; ++i) {
      running += this->in_use[static_cast<std::size_t>(i)];
    }
    if (this->closed == upstreams_per_region && running == 0 && this->found.drained_at_ms < 0) {
      this->found.drained_at_ms = this->time.now_ms;
    }
  }

  [[nodiscard]] double rate_of(std::size_t e) const {
    // Callers cache answers, so entries of one region do not get the same share.
    constexpr double skew[entries_per_region] = {0.5, 0.3, 0.2};
    const double capacity = upstreams_per_region * slots_per_upstream / mean_service_ms;
    const int region = this->entries[e]->region;
    double load = region == 0 && this->s.surge > 0 ? this->s.surge : this->s.load;
    if (this->s.lose_region) {
      // The lost region's callers are told the other regions' entries.
      load = region == 0 ? 0 : this->s.load * regions / (regions - 1);
    }
    return load * capacity * skew[e % entries_per_region];
  }

  void arrive(std::size_t e, std::int64_t end) {
    const double rate = this->rate_of(e);
    if (rate <= 0) {
      return;
    }
    std::exponential_distribution<double> gap{rate};
    this->carry[e] += gap(this->random);
    const auto when = 1'000 + static_cast<std::int64_t>(this->carry[e]);
    if (when >= end) {
      return;
    }
    this->time.at(when, [this, e, end] {
      this->place(e, this->time.now_ms, {});
      this->arrive(e, end);
    });
  }

  void report(std::int64_t end) {
    for (auto& entry : this->entries) {
      entry->reports.emplace_back(this->time.now_ms, entry->ledger.loads(this->time.now()).front());
      while (!entry->reports.empty() &&
             entry->reports.front().first <= this->time.now_ms - this->s.report_lag_ms) {
        entry->reported = entry->reports.front().second;
        entry->reports.pop_front();
      }
    }
    if (this->time.now_ms < end) {
      this->time.after(heartbeat_ms, [this, end] { this->report(end); });
    }
  }

  void place(std::size_t e, std::int64_t began, std::vector<std::size_t> tried) {
    if (this->p == policy::random_upstream) {
      this->choose_at_random(e, began, 0);
      return;
    }
    if (this->p == policy::fixed_split) {
      this->ask(e, e, began, tried, std::nullopt);
      return;
    }
    const auto glanced = static_cast<std::size_t>(
        std::count_if(tried.begin(), tried.end(), [](std::size_t one) { return one >= glance_mark; }));
    bool glances = glanced < most_glances && tried.size() == glanced;
    auto target = this->best(e, tried, glances);
    if (glances && !target) {
      glances = false;
      target = this->best(e, tried, false);
    }
    if (!target) {
      ++this->found.refused;
      return;
    }
    std::optional<share_key> share;
    auto& here = *this->entries[e];
    if (this->entries[*target]->region != here.region) {
      share = share_key{region_id{std::to_string(this->entries[*target]->region)}, desk};
      if (!here.gate.try_enter(*share, this->time.now())) {
        tried.push_back(*target);
        this->place(e, began, tried);
        return;
      }
      ++this->found.moved;
    }
    tried.push_back(glances ? *target + glance_mark : *target);
    this->time.after(this->distance(e, *target), [this, e, t = *target, began, tried, share, glances] {
      this->ask(e, t, began, tried, share, !glances);
    });
  }

  [[nodiscard]] std::int64_t distance(std::size_t a, std::size_t b) const {
    if (a == b) {
      return 0;
    }
    return this->entries[a]->region == this->entries[b]->region ? 1 : this->u.region_delay_ms;
  }

  [[nodiscard]] std::optional<std::size_t> best(std::size_t e, const std::vector<std::size_t>& tried,
                                                bool glances) {
    std::vector<placement_candidate> candidates;
    const auto& here = *this->entries[e];
    for (std::size_t other = 0; other < this->entries.size(); ++other) {
      const auto& there = *this->entries[other];
      const bool lost = this->s.lose_region && there.region == 0;
      const auto mark = glances ? other + glance_mark : other;
      if (lost || std::find(tried.begin(), tried.end(), mark) != tried.end()) {
        continue;
      }
      placement_candidate candidate;
      candidate.node = there.id;
      candidate.region = region_id{std::to_string(there.region)};
      candidate.load = other == e ? there.ledger.loads(this->time.now()).front() : there.reported;
      candidate.distance = duration{this->distance(e, other)};
      candidate.is_self = other == e;
      candidate.is_remote = there.region != here.region;
      if (candidate.is_remote) {
        const share_key key{candidate.region, desk};
        candidate.share_open = here.gate.in_flight(key) < here.gate.allowed(key, this->time.now());
      }
      candidates.push_back(std::move(candidate));
    }
    const auto ranked =
        rank(std::move(candidates), {this->u.latency_weight, this->u.headroom_weight, {}, this->random()});
    if (ranked.empty() || tried.size() >= most_glances + 4) {
      return std::nullopt;
    }
    const bool goes_elsewhere = ranked.front().region.str() != std::to_string(here.region);
    if (glances && goes_elsewhere) {
      return std::nullopt;
    }
    const auto found_entry = std::find_if(this->entries.begin(), this->entries.end(),
                                          [&](const auto& one) { return one->id == ranked.front().node; });
    return static_cast<std::size_t>(found_entry - this->entries.begin());
  }

  void ask(std::size_t e, std::size_t t, std::int64_t began, const std::vector<std::size_t>& tried,
           const std::optional<share_key>& share, bool may_queue = true) {
    auto& holder = *this->entries[t];
    const auto waiter = ++this->next_waiter;
    const auto decided = [this, e, t, began, tried, share](const slot_decision& decision) {
      if (const auto* const grant = std::get_if<slot_grant>(&decision)) {
        this->serve(e, t, began, *grant, share);
        return;
      }
      if (share) {
        this->entries[e]->gate.leave(*share);
      }
      if (this->p == policy::ours) {
        this->place(e, began, tried);
      } else {
        ++this->found.refused;
      }
    };
    const bool elsewhere = this->entries[e]->region != holder.region;
    const auto decision = holder.ledger.request(
        {waiter, desk, elsewhere, {began + deadline_ms}, may_queue, {}}, this->time.now());
    if (std::holds_alternative<slot_queued>(decision)) {
      holder.waiting[waiter] = decided;
    } else {
      decided(decision);
    }
  }

  void serve(std::size_t e, std::size_t t, std::int64_t began, const slot_grant& grant,
             const std::optional<share_key>& share) {
    const auto upstream = static_cast<std::size_t>(std::stoi(grant.upstream.str()));
    this->occupy(upstream);
    const auto took = this->service_time();
    this->time.after(took, [this, e, t, began, grant, share, upstream, took] {
      this->vacate(upstream);
      for (const auto& woken : this->entries[t]->ledger.release(grant, duration{took}, this->time.now())) {
        const auto waiting = this->entries[t]->waiting.find(woken.waiter);
        const auto act = waiting->second;
        this->entries[t]->waiting.erase(waiting);
        act(woken.decision);
      }
      if (share) {
        this->entries[e]->gate.leave(*share);
      }
      const auto back = this->distance(e, t);
      this->found.latency_ms.push_back(static_cast<double>(this->time.now_ms + back - began));
    });
  }

  /// An upstream with all slots in use sheds; the entry tries another, at most three times.
  void choose_at_random(std::size_t e, std::int64_t began, int tries) {
    int region = this->entries[e]->region;
    if (tries == 3) {
      ++this->found.refused;
      return;
    }
    const auto index = static_cast<int>(this->random() % upstreams_per_region);
    const bool shut = region == 0 && index < this->closed;
    if (shut) {
      region = 1 + static_cast<int>(this->random() % (regions - 1));
      ++this->found.moved;
    }
    const auto upstream =
        static_cast<std::size_t>(region) * upstreams_per_region + static_cast<std::size_t>(index);
    if (this->in_use[upstream] >= slots_per_upstream) {
      ++this->found.over_slots;
      this->time.after(1, [this, e, began, tries] { this->choose_at_random(e, began, tries + 1); });
      return;
    }
    const auto way = shut ? this->u.region_delay_ms : 0;
    this->occupy(upstream);
    this->time.after(this->service_time(), [this, upstream, began, way] {
      this->vacate(upstream);
      this->found.latency_ms.push_back(static_cast<double>(this->time.now_ms + 2 * way - began));
    });
  }

  [[nodiscard]] std::int64_t service_time() {
    std::lognormal_distribution<double> spread{std::log(mean_service_ms) - 0.125, 0.5};
    return std::max<std::int64_t>(1, std::llround(spread(this->random)));
  }

  void occupy(std::size_t upstream) {
    ++this->in_use[upstream];
    const auto region = upstream / upstreams_per_region;
    int used = 0;
    for (std::size_t i = region * upstreams_per_region; i < (region + 1) * upstreams_per_region; ++i) {
      used += this->in_use[i];
    }
    const double free = 1.0 - static_cast<double>(used) / (upstreams_per_region * slots_per_upstream);
    // Smoothed over half a second: a single full instant is no lack of headroom.
    auto& smooth = this->headroom[region];
    smooth += (free - smooth) * 0.003;
    if (this->time.now_ms > 5'000) {
      this->found.least_headroom[region] = std::min(this->found.least_headroom[region], smooth);
    }
  }

  void vacate(std::size_t upstream) {
    --this->in_use[upstream];
    this->check_drained();
  }

  user u;
  scenario s;
  policy p;
  timeline time;
  std::mt19937_64 random{20261203};
  std::vector<std::unique_ptr<entry>> entries;
  std::vector<int> in_use;
  std::map<std::size_t, double> carry;
  std::vector<double> headroom = std::vector<double>(regions, 0.5);
  std::uint64_t next_waiter{0};
  int closed{0};
  outcome found;
};

[[nodiscard]] double quantile(std::vector<double>& values, double part) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(part * static_cast<double>(values.size() - 1))];
}

void print_row(const user& who, const scenario& given, policy how, std::int64_t seconds) {
  constexpr const char* names[] = {"ours", "random upstream", "fixed split"};
  auto found = field{who, given, how}.run(seconds);
  const auto requests = static_cast<double>(found.latency_ms.size()) + static_cast<double>(found.refused);
  std::cout << "| " << given.name << " | " << names[static_cast<int>(how)] << " | " << std::fixed
            << std::setprecision(0) << quantile(found.latency_ms, 0.5) << " | "
            << quantile(found.latency_ms, 0.99) << " | " << std::setprecision(2)
            << 100.0 * static_cast<double>(found.refused) / requests << "% | "
            << 100.0 * static_cast<double>(found.moved) / requests << "% | ";
  for (const double headroom : found.least_headroom) {
    std::cout << std::setprecision(0) << 100 * headroom << "% ";
  }
  std::cout << "| " << found.over_slots << " | ";
  if (found.drained_at_ms >= 0) {
    std::cout << std::setprecision(1) << static_cast<double>(found.drained_at_ms - seconds * 250) / 1000
              << " s";
  }
  std::cout << " |\n";
}

}  // namespace

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::string name;
  std::int64_t seconds = 0;
  po::options_description flags{"decisions"};
  flags.add_options()("user", po::value(&name)->default_value("kapur-jaya"), "kapur-jaya or brekke")(
      "seconds", po::value(&seconds)->default_value(60), "length of each run, on the bench's own clock");
  po::variables_map given;
  po::store(po::parse_command_line(argc, argv, flags), given);
  po::notify(given);
  const user kapur_jaya{"kapur-jaya", 55, 20, 2, 12};
  const user brekke{"brekke", 20, 10, 12, 12};
  const user& who = name == "brekke" ? brekke : kapur_jaya;
  const std::vector<scenario> scenarios{
      {"normal, 60%", 0.6},
      {"surge of one region to 120%", 0.5, 1.2},
      {"one region lost", 0.5, 0, true},
      {"one region drained", 0.4, 0, false, true},
      {"one region drained, large caps", 0.4, 0, false, true, heartbeat_ms, 120},
      {"one region at 85%, others at 30%", 0.3, 0.85},
      {"load figures 10 s late", 0.6, 0, false, false, 10'000},
      {"surge, figures 10 s late", 0.5, 1.2, false, false, 10'000}};
  std::cout << "| load | policy | p50 ms | p99 ms | refused | moved | least headroom by region | shed | "
               "drained in |\n"
            << "|---|---|---|---|---|---|---|---|---|\n";
  for (const auto& one : scenarios) {
    for (const auto how : {policy::ours, policy::random_upstream, policy::fixed_split}) {
      print_row(who, one, how, seconds);
    }
  }
  std::cout << "\nthe other user's weights on this load:\n\n";
  user swapped = who;
  swapped.latency_weight = name == "brekke" ? kapur_jaya.latency_weight : brekke.latency_weight;
  swapped.headroom_weight = name == "brekke" ? kapur_jaya.headroom_weight : brekke.headroom_weight;
  for (const auto& one : scenarios) {
    print_row(swapped, one, policy::ours, seconds);
  }
  return 0;
}
