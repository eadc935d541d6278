// Slopes for docs/CAPACITY.md: what grows with client blocks, sites and nodes, each at four sizes or more.
//
// Usage: scale
#include <sys/resource.h>

#include <chrono>
#include <cstdint>
#include <iostream>
#include <memory>
#include <random>

#include "zinnia/settings/settings_tree.hpp"
#include "zinnia/steering/block_table.hpp"
#include "zinnia/steering/node_machine.hpp"
#include "zinnia/steering/overlay.hpp"
#include "zinnia/wire/frames.hpp"

namespace {

using namespace zinnia;
using steady = std::chrono::steady_clock;

[[nodiscard]] double ms_since(steady::time_point start) {
  return std::chrono::duration<double, std::milli>(steady::now() - start).count();
}

[[nodiscard]] double peak_mb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

void measure_blocks() {
  std::cout << "| client blocks | table MB | build ms | ns a look-up | ms a change of one block | peak MB of "
               "the process |\n"
               "|---|---|---|---|---|---|\n";
  constexpr int lookups = 2'000'000;
  constexpr int changes = 200;
  for (const std::uint32_t blocks : {162'500U, 325'000U, 650'000U, 1'300'000U, 2'600'000U}) {
    std::vector<block_entry> entries;
    entries.reserve(blocks);
    const std::uint32_t width = UINT32_MAX / blocks;
    for (std::uint32_t i = 0; i < blocks; ++i) {
      entries.push_back({i * width, i * width + width - 1, static_cast<site_index>(i % 2000)});
    }
    auto start = steady::now();
    auto table = block_table::build(std::move(entries));
    const auto build_ms = ms_since(start);
    std::mt19937 random{1};
    std::uint64_t sum = 0;
    start = steady::now();
    for (int i = 0; i < lookups; ++i) {
      sum += table.find(static_cast<std::uint32_t>(random())).value_or(0);
    }
    const auto lookup_ns = ms_since(start) * 1e6 / lookups;
    start = steady::now();
    for (int i = 0; i < changes; ++i) {
      const auto first = static_cast<std::uint32_t>(random()) / width * width;
      table = table.with({first, first + width - 1, static_cast<site_index>(sum % 2000)});
    }
    std::cout << "| " << blocks << " | " << static_cast<double>(table.memory_bytes()) / (1 << 20) << " | "
              << build_ms << " | " << lookup_ns << " | " << ms_since(start) / changes << " | " << peak_mb()
              << " |\n";
  }
}

/// A tree of `sites` sites in 80 failure domains of 36 regions, one upstream a site.
[[nodiscard]] std::string tree_of(int sites) {
  constexpr int region_count = 36;
  constexpr int domain_count = 80;
  std::string places = "places:\n";
  std::string service = "services:\n  desk:\n    regions:\n";
  for (int r = 0; r < region_count; ++r) {
    const std::string region = "r" + std::to_string(r);
    places += "  " + region + ": {domains: {";
    service += "      " + region + ": {domains: {";
    for (int d = r; d < domain_count; d += region_count) {
      const std::string domain = "d" + std::to_string(d);
      places += (d == r ? "" : ", ") + domain + ": {}";
      service += (d == r ? "" : ", ") + domain + ": {upstreams: [";
      for (int s = d; s < sites; s += domain_count) {
        service += (s == d ? "'" : ", '") + std::string{"10.0."} + std::to_string(s / 250) + '.' +
                   std::to_string(s % 250) + ":80'";
      }
      service += "]}";
    }
    places += "}}\n";
    service += "}}\n";
  }
  return places + service;
}

void measure_settings() {
  std::cout << "\n| sites | document KB | parse ms | CPU of 13,000 changes a day, % of a core "
               "|\n|---|---|---|---|\n";
  constexpr int rounds = 10;
  constexpr double changes_a_second = 13'000.0 / 86'400.0;
  for (const int sites : {250, 500, 1000, 2000}) {
    const settings_document document{"e", "bench", tree_of(sites), {}};
    const auto start = steady::now();
    for (int i = 0; i < rounds; ++i) {
      static_cast<void>(settings_tree::parse(document, "bench"));
    }
    const auto parse_ms = ms_since(start) / rounds;
    std::cout << "| " << sites << " | " << static_cast<double>(encode(document).size()) / 1024 << " | "
              << parse_ms << " | " << parse_ms / 1000 * changes_a_second * 100 << " |\n";
  }
}

class idle_traffic final : public occupancy {
 public:
  [[nodiscard]] bool is_idle(const holding_id& /*holding*/) const override { return true; }
  [[nodiscard]] std::int64_t in_flight(const share_key& /*key*/) const override { return 0; }
  [[nodiscard]] std::vector<service_load> loads(time_point /*now*/) const override {
    return {{service_id{"desk"}, 12, 6, 0, 20}};
  }
  [[nodiscard]] bool is_journal_behind() const override { return false; }
  [[nodiscard]] std::int64_t total_in_flight() const override { return 0; }
};

[[nodiscard]] holdings_table table_of(int nodes, int sites) {
  holdings_table table;
  for (int i = 0; i < nodes; ++i) {
    auto& node = table.nodes[node_id{"r0-d" + std::to_string(i % 2) + "-" + std::to_string(i)}];
    node.domain = failure_domain_id{"d" + std::to_string(i % 2 * 36)};
    node.incarnation = incarnation_id{"1796300000000-123456789"};
    node.caller_address = "10.1.2.3:7300";
    node.peer_address = "10.1.2.3:7200";
    node.renewal = 1;
  }
  auto holder = table.nodes.begin();
  for (int i = 0; i < sites; ++i) {
    table.assign(slots_holding(service_id{"desk"}, upstream_id{"10.0.0." + std::to_string(i) + ":80"}),
                 holder->first, false);
    holder = std::next(holder) == table.nodes.end() ? table.nodes.begin() : std::next(holder);
  }
  return table;
}

void measure_nodes() {
  std::cout
      << "\n| nodes of a region | table KB | neighbours | heartbeat bytes | control sent B/s | tick us | "
         "control CPU, % of a core |\n|---|---|---|---|---|---|---|\n";
  constexpr int ticks = 400;
  constexpr std::int64_t tick_ms = 50;
  const idle_traffic traffic;
  const settings_document document{"e", "bench", tree_of(2000), {}};
  for (const int nodes : {3, 12, 48, 96, 192}) {
    auto table = table_of(nodes, 56);
    const node_id self = table.nodes.begin()->first;
    table.nodes.at(self).heirs = {std::next(table.nodes.begin())->first};
    node_machine machine{{self, region_id{"r0"}, failure_domain_id{"d0"},
                          incarnation_id{"1796300000000-123456789"}, "10.1.2.3:7300", "10.1.2.3:7200"},
                         {},
                         traffic,
                         1};
    time_point now{1000};
    machine.object_read(now, settings_key, store_outcome::ok, object_version{1}, encode(document));
    // The other regions' tables, as every node knows them.
    for (int r = 1; r < 36; ++r) {
      machine.object_read(now, holdings_key(region_id{"r" + std::to_string(r)}), store_outcome::ok,
                          object_version{2}, encode(table_of(std::min(nodes, 8), 4)));
    }
    machine.object_read(now, holdings_key(region_id{"r0"}), store_outcome::ok, object_version{3},
                        encode(table));
    std::size_t beat_bytes = 0;
    std::size_t beats = 0;
    double spent_ms = 0;
    for (int i = 0; i < ticks; ++i) {
      now = now + duration{tick_ms};
      const auto start = steady::now();
      machine.tick(now, now.ms);
      const auto actions = machine.take_actions();
      spent_ms += ms_since(start);
      for (const auto& action : actions) {
        if (const auto* const send = std::get_if<send_action>(&action)) {
          beat_bytes += encode_frame(send->message).size();
          ++beats;
        }
        if (const auto* const write = std::get_if<write_action>(&action)) {
          machine.object_written(now, write->key, store_outcome::unavailable, {}, now);
        }
      }
    }
    const auto neighbours = overlay_neighbours(machine.view().tables, region_id{"r0"}, self).size();
    const double seconds = static_cast<double>(ticks * tick_ms) / 1000;
    std::cout << "| " << nodes << " | " << static_cast<double>(encode(table).size()) / 1024 << " | "
              << neighbours << " | " << (beats == 0 ? 0 : beat_bytes / beats) << " | "
              << static_cast<double>(beat_bytes) / seconds << " | " << spent_ms * 1000 / ticks << " | "
              << spent_ms / (seconds * 1000) * 100 << " |\n";
  }
}

}  // namespace

int main() {
  measure_blocks();
  measure_settings();
  measure_nodes();
  return 0;
}
