// Discrete-event simulation of callers, entry nodes and backend servers. The production routing package
// places, queues and refuses requests; time, network delays and request processing are simulated.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "scenario.hpp"
#include "zinnia/routing/backend_table.hpp"

namespace zinnia::bench {

/// \brief Placement policy of the entry nodes.
enum class policy : unsigned char {
  /// A random eligible backend server.
  random,
  /// The eligible backend server with the lowest known load.
  least_load,
  /// The less loaded of two randomly picked backend servers.
  two_choices,
  /// The production policy with one home per object and no spillover. The input of `simulate` must have
  /// `scenario::one_home_tree` as its tree.
  one_home,
  /// The production policy with the settings of the scenario.
  zinniafield,
  /// Ideal single queue for all slots of a service, with every object remembered on every server and no
  /// network delay between entry nodes and servers. It bounds the credit of the other policies.
  pooled_bound,
};

/// \brief Returns the name of a policy in reports and on the command line.
[[nodiscard]] const char* to_string(policy selected_policy) noexcept;

/// \brief Metrics of one simulated run.
struct simulation_result {
  /// Sum of the `worth` or `late_worth` of all requests served before their deadline.
  double credit{0};
  /// Credit if every request were served within its target latency.
  double max_credit{0};
  int requests{0};
  /// Requests served within `request_class::aim_ms`.
  int in_aim{0};
  /// Requests served after `aim_ms` but before the deadline.
  int late{0};
  /// Requests that were refused or shed and had no retry left.
  int refused{0};
  /// Requests that were not served before the deadline.
  int failed{0};
  /// Executions on backend servers.
  int runs{0};
  /// Executions whose object was among the server's remembered objects.
  int warm_runs{0};
  /// Largest `moved_fraction` of any caller region between consecutive 2 s windows.
  double largest_shift{0};
  /// Mean fraction of all slots that are free.
  double free_slot_fraction{0};
  /// Earned and maximum credit by request class.
  std::map<std::string, std::pair<double, double>> credit_by_class;
  /// Earned and maximum credit by the caller's failure domain.
  std::map<std::string, std::pair<double, double>> credit_by_domain;
  /// Latencies of all served requests, ascending.
  std::vector<double> latencies_ms;

  [[nodiscard]] double credit_fraction() const noexcept {
    return this->max_credit > 0 ? this->credit / this->max_credit : 0;
  }
  /// \brief Returns a latency percentile in ms, or 0 if no request was served; `fraction` is between 0 and 1.
  [[nodiscard]] double percentile(double fraction) const;
};

/// \brief   Returns the fraction of requests that moved to another region between two windows.
/// \details The arguments are request counts by the region of execution. Returns 0 if either window has
///          fewer than 50 requests.
[[nodiscard]] double moved_fraction(const std::map<std::string, int>& before,
                                    const std::map<std::string, int>& after);

/// \brief Simulates a scenario once. The same seed gives the same result.
[[nodiscard]] simulation_result simulate(const scenario& input, policy selected_policy, std::uint64_t seed);

}  // namespace zinnia::bench
