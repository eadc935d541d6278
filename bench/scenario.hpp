// Input of a simulation, read from a YAML file: servers, request classes, load, faults and the settings tree.
// Field names match the YAML keys.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinnia/core/result.hpp"
#include "zinnia/settings/settings_tree.hpp"

namespace zinnia::bench {

/// \brief The backend servers of one service in one failure domain.
struct server_group {
  service_id service;
  failure_domain_id domain;
  int count{1};
};

/// \brief A class of requests with the same service, cost and time limits.
struct request_class {
  std::string name;
  service_id service;
  /// Mean number of requests per second from each failure domain.
  double per_second_and_domain{10};
  /// Mean processing time if the server doesn't remember the object.
  double work_ms{240};
  /// Fraction of the processing time that a remembered object saves.
  double warm_gain{0.7};
  /// The number of different objects that the callers of one region request.
  int objects{50};
  double answer_kib{4};
  /// Target latency. Responses after it earn `late_worth` instead of `worth`.
  std::int64_t aim_ms{300};
  std::int64_t deadline_ms{1200};
  int priority{1};
  /// Credit for a response within `aim_ms`.
  double worth{1};
  /// Credit for a response after `aim_ms` and before the deadline.
  double late_worth{0.2};
  bool repeatable{true};
};

enum class event_kind : unsigned char {
  /// Multiplies the request rate of all callers by `factor`.
  burst,
  /// Multiplies the processing time of all servers of a failure domain by `factor`.
  slow,
  /// All servers of a failure domain drop arriving requests and lose their remembered objects. Entry nodes
  /// suspend them at once.
  lost,
};

/// \brief A temporary load change or fault.
struct scenario_event {
  event_kind kind{event_kind::burst};
  /// Start, in seconds since the start of the run.
  double at_s{0};
  /// Duration in seconds.
  double for_s{5};
  double factor{1};
  failure_domain_id domain;
};

/// \brief The complete input of a simulation.
struct scenario {
  std::string name;
  double length_s{40};
  int entries_per_domain{1};
  /// Requests that a server processes at once.
  int slots{3};
  /// Maximum number of requests waiting on a server; further requests are shed.
  int queue{9};
  /// The number of objects that a server remembers.
  int remembered{43};
  /// One-way network delay between failure domains of one region.
  double domain_delay_ms{0.9};
  /// One-way network delay between regions.
  double region_delay_ms{55};
  /// One-way network delay between a caller and its entry node.
  double caller_delay_ms{3};
  /// Entry nodes tell each other which servers hold objects.
  bool notices{true};
  /// Amplitude of the periodic load, as a fraction of its mean. The phase differs between regions.
  double swing{0.5};
  std::vector<server_group> servers;
  std::vector<request_class> classes;
  std::vector<scenario_event> events;
  settings_tree tree;
  /// The same settings with one home per object and no spillover.
  settings_tree one_home_tree;
};

/// \brief Reads a scenario. Errors contain the field and its line.
[[nodiscard]] result<scenario> read_scenario(const std::string& file_name);

}  // namespace zinnia::bench
