// Measures for docs/CAPACITY.md how the cost of a placement, of a membership change and of a heartbeat grows
// with the number of backend servers and nodes.
//
// Usage: scale
#include <chrono>
#include <iomanip>
#include <iostream>

#include "zinnia/accounts/account_limits.hpp"
#include "zinnia/membership/heartbeat_codec.hpp"
#include "zinnia/membership/holder_notice_codec.hpp"
#include "zinnia/routing/backend_table.hpp"
#include "zinnia/routing/crash_ledger.hpp"
#include "zinnia/routing/snapshot_builder.hpp"

namespace {

using namespace zinnia;

/// Returns the mean time of one call in microseconds.
template <class Action>
[[nodiscard]] double time_us(int calls, Action action) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i) {
    action(i);
  }
  const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
  return took.count() / calls;
}

[[nodiscard]] failure_domain_id domain_at(int i) {
  constexpr int domain_count = 80;
  return failure_domain_id{"d" + std::to_string(i % domain_count)};
}

void measure_backend_servers(int count) {
  std::map<failure_domain_id, region_id> regions;
  constexpr int domain_count = 80;
  constexpr int region_count = 36;
  for (int i = 0; i < domain_count; ++i) {
    regions.emplace(domain_at(i), region_id{"r" + std::to_string(i % region_count)});
  }
  const service_id service{"desk"};
  snapshot_builder builder{regions};
  builder.set_configuration({config_version{1}, {}, {{service, "/health", 1000, 0}}});
  const auto declare = [&](int i) {
    backend_declaration backend;
    backend.id = backend_id{"i-" + std::to_string(i)};
    backend.service = service;
    backend.domain = domain_at(i);
    backend.slots = 3;
    builder.set_backend(backend);
  };
  for (int i = 0; i < count; ++i) {
    declare(i);
  }
  backend_table table{{domain_at(0), regions[domain_at(0)]}, regions};
  std::shared_ptr<const routing_snapshot> snapshot = builder.publish();
  table.apply(*snapshot, time_point{0});
  route matched_route;
  matched_route.prefix = "/x/";
  placement_request request;
  request.matched_route = &matched_route;
  request.service = service;
  request.deadline = time_point{1000};
  const double placement_us = time_us(2000, [&](int i) {
    request.object = static_cast<std::uint64_t>(i);
    static_cast<void>(table.choose(request, time_point{0}));
  });
  const double change_us = time_us(20, [&](int i) {
    declare(i);
    snapshot = builder.publish();
    table.apply(*snapshot, time_point{0});
  });
  std::cout << "| " << count << " | " << placement_us << " | " << change_us / 1000 << " |\n";
}

void measure_nodes(int count) {
  member_table table{node_id{"n0"}};
  for (int i = 0; i < count; ++i) {
    const auto name = "n" + std::to_string(i);
    table.add({node_id{name},
               {domain_at(i), region_id{"r"}},
               "10.0.0.1:80",
               {"10.0.0.1", 81},
               "10.0.0.1:82",
               incarnation_id{"run"},
               {}},
              time_point{0});
  }
  node_heartbeat heartbeat{node_id{"n1"}, incarnation_id{"run"},         true, false, {},
                           true,          std::vector<object_version>(5)};
  const auto datagram = encode_heartbeat(heartbeat);
  const double receive_us =
      time_us(2000, [&](int) { table.on_heartbeat(*decode_heartbeat(datagram), time_point{0}); });
  const double list_alive_us = time_us(20, [&](int) { static_cast<void>(table.alive(time_point{0})); });
  const double list_peers_us = time_us(20, [&](int) { static_cast<void>(table.peers()); });
  std::cout << "| " << count << " | " << datagram.size() << " | " << receive_us << " | " << list_alive_us
            << " | " << list_peers_us << " |\n";
}

void measure_crash_ledger(int count) {
  constexpr duration term{600'000};
  constexpr int calls = 20'000;
  const time_point now{1'000'000};
  crash_ledger ledger;
  ledger.set_longest_term(term);
  const auto report_at = [](int i) {
    const auto number = static_cast<std::uint64_t>(i);
    return crash_report{request_fingerprint{number}, number, 3, 3, duration{10}, duration{900}};
  };
  for (int i = 0; i < count; ++i) {
    ledger.apply(report_at(i), now);
  }
  static_cast<void>(ledger.take_reports());
  int found = 0;
  const double look_up_us = time_us(calls, [&](int i) {
    found += ledger.level(request_fingerprint{static_cast<std::uint64_t>(i) << 20U}, term, now);
  });
  const double answer_us = time_us(calls, [&](int i) {
    ledger.on_answered(request_fingerprint{static_cast<std::uint64_t>(i) << 20U}, now);
  });
  const double known_report_us = time_us(calls, [&](int i) { ledger.apply(report_at(i % count), now); });
  const auto datagram = encode_crash_reports(std::vector<crash_report>(1, report_at(1)));
  const auto full_datagram =
      encode_crash_reports(std::vector<crash_report>(max_notices_per_datagram, report_at(1)));
  std::cout << "| " << count << " | " << look_up_us << " | " << answer_us << " | " << known_report_us << " | "
            << datagram.size() << ", " << full_datagram.size() << " |" << (found < 0 ? "!" : "") << '\n';
}

void measure_account_limits(int count) {
  constexpr int calls = 200'000;
  std::vector<account_declaration> accounts;
  std::vector<account_id> ids;
  for (int i = 0; i < count; ++i) {
    ids.emplace_back("account-" + std::to_string(i));
    accounts.push_back({ids.back(), {}, 0, 100, 100, {}});
  }
  account_limits limits{{duration{5000}, 0.1, 20}, 1, time_point{0}};
  limits.set_accounts(account_table::make(accounts).value(), time_point{0});
  limit_holders holders{{}, 0};
  constexpr int holder_count = 12;
  for (int i = 0; i < holder_count; ++i) {
    holders.all.push_back({node_id{"n" + std::to_string(i)}, {"10.0.0.1", 81}, 1});
  }
  limits.set_holders(holders, time_point{0});
  const auto admit = [&](int i) {
    static_cast<void>(
        limits.try_admit(ids[static_cast<std::size_t>(i) % ids.size()], time_point{60'000 + i / 50}));
  };
  const double first_us = time_us(count, admit);
  // Far more requests than the limit allows: the longest path.
  const double admit_us = time_us(calls, admit);
  const double asks_us =
      time_us(20, [&](int i) { static_cast<void>(limits.take_asks(time_point{70'000 + 25 * i})); });
  std::cout << "| " << count << " | " << first_us << " | " << admit_us << " | " << asks_us << " |\n";
}

}  // namespace

int main() {
  std::cout << std::fixed << std::setprecision(2)
            << "| servers of a service | us a placement | ms to take over a change of one server "
               "|\n|---|---|---|\n";
  for (const int count : {24, 100, 363, 1000, 4000}) {
    measure_backend_servers(count);
  }
  std::cout << "\n| nodes | heartbeat bytes | us to take one | us to list the living | us to pick peers |\n"
            << "|---|---|---|---|---|\n";
  for (const int count : {9, 89, 192, 1000, 6900}) {
    measure_nodes(count);
  }
  std::cout << "\n| requests remembered | us to look one up | us for an answer | us for a known report | "
               "bytes for 1, 30 "
               "reports |\n|---|---|---|---|---|\n";
  for (const int count : {1, 30, 1024}) {
    measure_crash_ledger(count);
  }
  std::cout << "\n| accounts | us for an account's first request | us to admit or reject a request | us for "
               "a round of "
               "asks |\n|---|---|---|---|\n";
  for (const int count : {87, 10'000}) {
    measure_account_limits(count);
  }
  return 0;
}
