// Slopes for docs/CAPACITY.md: how the cost of decisions and of control grows with servers and nodes.
//
// Usage: scale
#include <chrono>
#include <iomanip>
#include <iostream>

#include "zinnia/membership/heartbeat_codec.hpp"
#include "zinnia/routing/backend_table.hpp"
#include "zinnia/routing/snapshot_builder.hpp"

namespace {

using namespace zinnia;

/// Mean time of one call in microseconds.
template <class Action>
[[nodiscard]] double time_us(int calls, Action action) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i) {
    action(i);
  }
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
  return took.count() / calls;
}

[[nodiscard]] failure_domain_id domain_of(int i) {
  constexpr int domains = 80;
  return failure_domain_id{"d" + std::to_string(i % domains)};
}

void servers(int count) {
  std::map<failure_domain_id, region_id> regions;
  constexpr int domains = 80;
  constexpr int region_count = 36;
  for (int i = 0; i < domains; ++i) {
    regions.emplace(domain_of(i), region_id{"r" + std::to_string(i % region_count)});
  }
  const service_id desk{"desk"};
  snapshot_builder builder{regions};
  builder.set_configuration({config_version{1}, {}, {{desk, "/health", 1000, 0}}});
  const auto declare = [&](int i) {
    backend_declaration backend;
    backend.id = backend_id{"i-" + std::to_string(i)};
    backend.service = desk;
    backend.domain = domain_of(i);
    backend.slots = 3;
    builder.set_backend(backend);
  };
  for (int i = 0; i < count; ++i) {
    declare(i);
  }
  backend_table table{{domain_of(0), regions[domain_of(0)]}, regions};
  std::shared_ptr<const routing_snapshot> snapshot = builder.publish();
  table.apply(*snapshot, time_point{0});
  route rule;
  rule.prefix = "/x/";
  placement_request request;
  request.matched_route = &rule;
  request.service = desk;
  request.deadline = time_point{1000};
  const double choose = time_us(2000, [&](int i) {
    request.object = static_cast<std::uint64_t>(i);
    static_cast<void>(table.choose(request, time_point{0}));
  });
  const double change = time_us(20, [&](int i) {
    declare(i);
    snapshot = builder.publish();
    table.apply(*snapshot, time_point{0});
  });
  std::cout << "| " << count << " | " << choose << " | " << change / 1000 << " |\n";
}

void nodes(int count) {
  member_table table{node_id{"n0"}};
  for (int i = 0; i < count; ++i) {
    const auto name = "n" + std::to_string(i);
    table.add({node_id{name},
               {domain_of(i), region_id{"r"}},
               "10.0.0.1:80",
               {"10.0.0.1", 81},
               "10.0.0.1:82",
               incarnation_id{"run"},
               {}},
              time_point{0});
  }
  node_heartbeat beat{node_id{"n1"}, incarnation_id{"run"},         true, false, {},
                      true,          std::vector<object_version>(5)};
  const auto datagram = encode_heartbeat(beat);
  const double hear =
      time_us(2000, [&](int) { table.on_heartbeat(*decode_heartbeat(datagram), time_point{0}); });
  const double alive = time_us(20, [&](int) { static_cast<void>(table.alive(time_point{0})); });
  const double peers = time_us(20, [&](int) { static_cast<void>(table.peers()); });
  std::cout << "| " << count << " | " << datagram.size() << " | " << hear << " | " << alive << " | " << peers
            << " |\n";
}

}  // namespace

int main() {
  std::cout << std::fixed << std::setprecision(2)
            << "| servers of a service | us a placement | ms to take over a change of one server "
               "|\n|---|---|---|\n";
  for (const int count : {24, 100, 363, 1000, 4000}) {
    servers(count);
  }
  std::cout << "\n| nodes | heartbeat bytes | us to take one | us to list the living | us to pick peers |\n"
            << "|---|---|---|---|---|\n";
  for (const int count : {9, 89, 192, 1000, 6900}) {
    nodes(count);
  }
  return 0;
}
