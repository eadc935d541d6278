// Shows how placement handles requests for one object: they go to its home backend server, then to its second
// home, and are refused immediately once both are full.
//
// Usage: place_request
#include <iostream>
#include <vector>

#include "zinnia/routing/backend_table.hpp"

int main() {
  using namespace zinnia;
  const failure_domain_id domain{"klang-a"};
  const region_id region{"klang"};
  const service_id desk{"desk"};
  backend_table table{{domain, region}, {{domain, region}}};

  routing_snapshot snapshot;
  snapshot.sequence = 1;
  snapshot.services[desk] = {desk, "/health", 100, 0};
  for (const auto* const name : {"a", "b", "c", "d"}) {
    backend_declaration backend;
    backend.id = backend_id{name};
    backend.service = desk;
    backend.domain = domain;
    backend.slots = 1;
    snapshot.backends[backend.id] = backend;
  }
  const time_point now{1000};
  table.apply(snapshot, now);

  route slots_route;
  slots_route.prefix = "/slots/";
  placement_request request;
  request.matched_route = &slots_route;
  request.service = desk;
  request.object = 42;
  request.deadline = now + duration{400};

  // Sends requests to the chosen backend servers until none can respond before the deadline.
  std::vector<std::string> chosen;
  placement_decision decision = table.choose(request, now);
  while (decision.target != nullptr) {
    if (chosen.empty() || chosen.back() != decision.target->declared().id.str()) {
      chosen.push_back(decision.target->declared().id.str());
    }
    decision.target->on_sent(now);
    decision = table.choose(request, now);
  }
  std::cout << "first request:  " << (chosen.empty() ? "?" : "home") << '\n'
            << "home is full:   " << (chosen.size() > 1 && chosen[1] != chosen[0] ? "second home" : "?")
            << '\n'
            << "both are full:  "
            << (decision.refusal_reason == reason::wait_exceeds_deadline ? "refused" : "?")
            << ", retry after " << decision.retry_after.ms << " ms\n";
  return 0;
}
