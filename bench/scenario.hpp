// What an experiment plays: places, services, kinds of requests, load and faults, read from a YAML file.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "zinnia/core/result.hpp"
#include "zinnia/settings/settings_tree.hpp"

namespace zinnia::bench {

/// \brief Backend servers of one service in one failure domain.
struct server_group {
  service_id service;
  failure_domain_id domain;
  int count{1};
};

/// \brief One kind of request.
struct request_class {
  std::string name;
  service_id service;
  double per_second_and_domain{10};
  double work_ms{240};
  /// Part of the work that a remembered object saves.
  double warm_gain{0.7};
  /// Objects of each region.
  int objects{50};
  double answer_kib{4};
  std::int64_t aim_ms{300};
  std::int64_t deadline_ms{1200};
  int priority{1};
  double worth{1};
  double late_worth{0.2};
  bool repeatable{true};
};

enum class event_kind : unsigned char {
  /// Load of all callers times `factor`.
  burst,
  /// Servers of a failure domain work `factor` times longer.
  slow,
  /// Servers of a failure domain are gone.
  lost,
};

/// \brief Something that happens for a while.
struct scenario_event {
  event_kind kind{event_kind::burst};
  double at_s{0};
  double for_s{5};
  double factor{1};
  failure_domain_id domain;
};

/// \brief A whole experiment.
struct scenario {
  std::string name;
  double length_s{40};
  int entries_per_domain{1};
  int slots{3};
  int queue{9};
  int remembered{43};
  double domain_delay_ms{0.9};
  double region_delay_ms{55};
  double caller_delay_ms{3};
  /// Load swings by this part around its mean, out of step between regions.
  double swing{0.5};
  std::vector<server_group> servers;
  std::vector<request_class> classes;
  std::vector<scenario_event> events;
  settings_tree tree;
  /// The same tree with one home an object and no straying.
  settings_tree one_home_tree;
};

/// \brief Reads a scenario; an error names the field and its line.
[[nodiscard]] result<scenario> read_scenario(const std::string& file_name);

}  // namespace zinnia::bench
