// The restricted backend servers as all nodes see them: reads the nodes' answers, combines and formats them.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "zinnia/core/clock.hpp"
#include "zinnia/core/result.hpp"

namespace zinnia {

/// \brief One reason for which one node sends a backend server no requests or a limited rate of them.
struct reported_restriction {
  std::string backend;
  std::string service;
  std::string domain;
  std::string reason;
  /// Time until the end of the busy time or the next health check; empty if the node does not know an end.
  std::optional<duration> remaining;
  /// Requests per second of all nodes together, and the node's part; 0 unless the server is limited.
  double limit_per_second{0};
  double share_per_second{0};
};

/// \brief What one node answered.
struct node_answer {
  std::string node;
  std::vector<reported_restriction> restrictions;
  /// Why there is no answer, or none that can be read; empty if there is one.
  std::string problem;
};

/// \brief One reason at one server, as seen by all nodes that answered.
struct server_line {
  std::string backend;
  std::string service;
  std::string domain;
  std::string reason;
  /// The number of nodes that see the server so; at least 1.
  std::size_t node_count{0};
  /// The least and the longest time among the nodes that know one.
  std::optional<duration> least_remaining;
  std::optional<duration> most_remaining;
  /// The greatest limit that a node knows, and the nodes' parts, in requests per second.
  double limit_per_second{0};
  double least_share{0};
  double most_share{0};
};

/// \brief The lines of all servers, and the nodes that they come from.
struct server_report {
  /// Ordered by service, server and reason.
  std::vector<server_line> lines;
  std::size_t answered_count{0};
  /// The nodes without an answer that can be read, with the problem.
  std::vector<node_answer> missing;
};

/// \brief Reads the body of a node's response to `/v1/servers`. Returns the field that cannot be read as
/// error.
[[nodiscard]] result<std::vector<reported_restriction>> parse_restrictions(const std::string& body);

[[nodiscard]] server_report combine(const std::vector<node_answer>& answers);

/// \brief Returns one line a server and reason, then one a node that is missing.
[[nodiscard]] std::string format_text(const server_report& report);
[[nodiscard]] nlohmann::json to_json(const server_report& report);

}  // namespace zinnia
