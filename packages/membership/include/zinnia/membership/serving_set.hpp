// Which nodes of a failure domain callers are told of, when some of them are much larger than others.
#pragma once

#include <set>
#include <vector>

#include "zinnia/core/ids.hpp"

namespace zinnia {

/// \brief What a node's VM can carry.
struct node_capacity {
  /// Processor time, in thousandths of a core.
  int cpu_milli{1000};
  /// The VM's own link, each way.
  int link_kbit{1'000'000};
};

/// \brief What a node's work took lately, in the units of its capacity.
struct node_load {
  int cpu_milli{0};
  int link_kbit{0};
};

/// \brief A living node of a failure domain.
struct serving_candidate {
  node_id id;
  node_capacity capacity;
  node_load load;
};

/// \brief   The nodes that should carry the callers of their failure domain.
///
/// \details The largest ones, as few as carry all of the domain's work with room to spare, and two at least.
///          Each node knows only its own requests at a backend server exactly, so fewer nodes place better; a
///          small VM also takes long to pass on a large answer. Nodes of about the same size are taken
///          together, so that a domain of equal VMs uses all of them.
/// \param   before Those that were chosen last; they are kept until the rest has clearly enough room.
[[nodiscard]] std::set<node_id> choose_serving_nodes(std::vector<serving_candidate> candidates,
                                                     const std::set<node_id>& before);

}  // namespace zinnia
