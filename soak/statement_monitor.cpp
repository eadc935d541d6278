// The bounds that a server's statements set, and the requests that exceed them.
#include "statement_monitor.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace zinnia::soak {
namespace impl {
namespace {

using std::chrono::milliseconds;

/// A request may reach a leaving server for this long: the drain time, and a caller's longest deadline.
constexpr milliseconds leaving_time{2500 + 1200};
/// Time until a node that was told a limit or to wait must act on it.
constexpr milliseconds reaction_time{500};
/// Time from the first response that names a limit until it is judged.
constexpr milliseconds settling_time{3000};
constexpr milliseconds limit_window{4000};
constexpr double limit_factor = 1.5;
constexpr double limit_slack = 5;
constexpr std::size_t max_requests_while_busy = 2;

}  // namespace
}  // namespace impl

void statement_monitor::begin(const own_statement& statement_in, is_calm_predicate is_calm_in,
                              soak_clock::time_point now) {
  *this = {};
  this->current = statement_in;
  this->is_calm = std::move(is_calm_in);
  this->begun_at = now;
}

void statement_monitor::on_request(const std::string& node, soak_clock::time_point now) {
  const auto known = this->told.find(node);
  if (known != this->told.end() && this->is_calm(node, known->second)) {
    this->arrivals.push_back({node, now, known->second});
  }
}

void statement_monitor::on_response(const std::string& node, soak_clock::time_point now) {
  const auto [known, is_new] = this->told.try_emplace(node, now);
  if (!is_new && !this->is_calm(node, known->second)) {
    known->second = now;
  }
  if (this->current.busy_s) {
    this->refusals.push_back({node, now});
  }
}

std::size_t statement_monitor::count_most_in_window() const {
  std::vector<soak_clock::time_point> judged;
  for (const auto& each : this->arrivals) {
    if (each.at >= each.told_at + impl::reaction_time && each.at >= this->begun_at + impl::settling_time) {
      judged.push_back(each.at);
    }
  }
  std::sort(judged.begin(), judged.end());
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < judged.size(); ++last) {
    while (judged[last] - judged[first] >= impl::limit_window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return most;
}

std::map<std::string, int> statement_monitor::count_late_requests() const {
  std::map<std::string, int> late;
  for (const auto& each : this->arrivals) {
    if (each.at >= each.told_at + impl::leaving_time) {
      ++late[each.node];
    }
  }
  return late;
}

std::size_t statement_monitor::count_early_requests(const refusal& refused) const {
  const auto until = refused.at + std::chrono::seconds{this->current.busy_s.value_or(0)};
  return static_cast<std::size_t>(
      std::count_if(this->arrivals.begin(), this->arrivals.end(), [&](const arrival& each) {
        return each.node == refused.node && each.told_at <= refused.at &&
               each.at >= refused.at + impl::reaction_time && each.at < until;
      }));
}

std::vector<std::string> statement_monitor::check() const {
  std::vector<std::string> violations;
  if (this->current.rate_limit) {
    const auto most = this->count_most_in_window();
    constexpr double window_s = 4;
    const double allowed = impl::limit_factor * *this->current.rate_limit * window_s + impl::limit_slack;
    if (static_cast<double>(most) > allowed) {
      violations.push_back(absl::StrCat("a server with a limit of ", *this->current.rate_limit,
                                        " a second got ", most, " requests in 4 s"));
    }
  }
  if (this->current.is_leaving) {
    for (const auto& [node, count] : this->count_late_requests()) {
      violations.push_back(absl::StrCat("a leaving server got ", count, " late requests from ", node));
    }
  }
  for (const auto& refused : this->refusals) {
    if (const auto early = this->count_early_requests(refused); early > impl::max_requests_while_busy) {
      violations.push_back(
          absl::StrCat("a busy server got ", early, " requests too early from ", refused.node));
    }
  }
  return violations;
}

}  // namespace zinnia::soak
