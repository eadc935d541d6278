// Checks that nodes act on what one backend server says about itself in its responses.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace zinnia::soak {

using soak_clock = std::chrono::steady_clock;

/// \brief What a backend server says about itself.
struct own_statement {
  /// Requests per second from all nodes together; empty for no limit.
  std::optional<double> rate_limit{};
  bool is_leaving{false};
  /// Seconds of the Retry-After with which all requests are refused; empty if none are.
  std::optional<int> busy_s{};
};

/// \brief   Records who was told what by a server, and which requests arrived. Not thread safe.
/// \details A node is judged only by what arrives after a response with the statement was sent to it.
class statement_monitor {
 public:
  /// \brief True if a node has run without interruption from that time until now.
  using is_calm_predicate = std::function<bool(const std::string& node, soak_clock::time_point since)>;

  /// \brief Starts anew with a statement, or without one.
  void begin(const own_statement& statement_in, is_calm_predicate is_calm_in, soak_clock::time_point now);
  [[nodiscard]] const own_statement& statement() const { return this->current; }
  void on_request(const std::string& node, soak_clock::time_point now);
  /// \brief Records a response with the statement.
  void on_response(const std::string& node, soak_clock::time_point now);
  /// \brief Returns one line per guarantee that is violated so far.
  [[nodiscard]] std::vector<std::string> check() const;
  /// \brief Returns the number of requests that the checks could judge.
  [[nodiscard]] std::size_t judged_requests() const { return this->arrivals.size(); }

 private:
  /// A request from a node that has run without interruption since it was told the statement.
  struct arrival {
    std::string node;
    soak_clock::time_point at;
    soak_clock::time_point told_at;
  };
  struct refusal {
    std::string node;
    soak_clock::time_point at;
  };

  [[nodiscard]] std::size_t count_most_in_window() const;
  [[nodiscard]] std::map<std::string, int> count_late_requests() const;
  [[nodiscard]] std::size_t count_early_requests(const refusal& refused) const;

  own_statement current;
  is_calm_predicate is_calm;
  soak_clock::time_point begun_at;
  std::vector<arrival> arrivals;
  // The first response with the statement to each node since its last interruption.
  std::map<std::string, soak_clock::time_point> told;
  std::vector<refusal> refusals;
};

}  // namespace zinnia::soak
