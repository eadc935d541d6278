// Chooses the nodes of a failure domain that are advertised to callers. It matters where some VMs are much
// larger than others.
#pragma once

#include <set>
#include <vector>

#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief The capacity of a node's VM.
struct node_capacity {
  /// CPU capacity in thousandths of a core.
  int cpu_milli{1000};
  /// Bandwidth of the VM's network link in each direction, in kbit/s.
  int link_kbit{1'000'000};
};

/// \brief The recent load of a node, in the units of `node_capacity`.
struct node_load {
  int cpu_milli{0};
  int link_kbit{0};
};

/// \brief A node of a failure domain that is alive and accepts requests.
struct serving_candidate {
  node_id id;
  node_capacity capacity;
  node_load load;
};

/// \brief   Returns the nodes that should serve the callers of their failure domain.
///
/// \details Chooses the largest nodes: as few as can carry the load of the whole domain with
///          spare capacity, but at least two if there are two. A node has exact knowledge only
///          of its own requests at a backend server, so fewer nodes make better placement
///          decisions. A small VM also takes long to forward a large response. Nodes of about
///          the same size are added together, so a domain of equal VMs uses all of them.
/// \param   candidates All nodes of one failure domain that accept requests.
/// \param   previous The previous choice. Its nodes are dropped only when the smaller set has ample spare
///          capacity, so that the choice is stable.
[[nodiscard]] std::set<node_id> choose_serving_nodes(std::vector<serving_candidate> candidates,
                                                     const std::set<node_id>& previous);

}  // namespace zinnia
