// Shows how the weights of two users place the same request between a busy near region and a free far one.
//
// Usage: place_request
#include <iostream>

#include "zinnia/steering/placement.hpp"

int main() {
  using namespace zinnia;
  placement_candidate near;
  near.node = node_id{"near"};
  near.region = region_id{"near"};
  near.load = {service_id{"desk"}, 24, 2, 0, 20};
  placement_candidate far = near;
  far.node = node_id{"far"};
  far.region = region_id{"far"};
  far.load.slots_free = 20;
  far.distance = duration{20};
  far.is_remote = true;
  const placement_policy latency_first{20, 2, {}, 1};
  const placement_policy headroom_first{10, 12, {}, 1};
  std::cout << "latency first:  " << rank({near, far}, latency_first).front().node << '\n'
            << "headroom first: " << rank({near, far}, headroom_first).front().node << '\n';
  return 0;
}
