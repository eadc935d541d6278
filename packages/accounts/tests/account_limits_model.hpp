// A simulation of nodes that share the limit of one account over an unreliable network, in steps of 1 ms.
#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "zinnia/accounts/account_limits.hpp"

namespace zinnia {

struct account_limits_model {
  struct message {
    std::size_t from{0};
    std::size_t to{0};
    std::optional<account_ask> ask;
    account_grant grant;
  };
  struct node {
    std::unique_ptr<account_limits> limits;
    double demand_per_second{0};
    std::int64_t stopped_until{0};
    std::int64_t cut_until{0};
    std::deque<std::int64_t> waiting;
    std::vector<message> unread;
    int admitted{0};
    int rejected{0};
  };

  account_limits_model(std::size_t count, double rate, double burst, unsigned seed)
      : random{seed}, nodes(count) {
    this->settings.overage = 0.1;
    this->settings.slack = 20;
    this->declare(rate, burst);
    for (std::size_t i = 0; i < count; ++i) {
      this->start(i);
    }
  }

  void declare(double rate, double burst) {
    account_declaration declared;
    declared.id = this->account;
    declared.requests_per_second = rate;
    declared.burst = burst;
    this->table = account_table::make({declared}).value();
  }

  void start(std::size_t index) {
    auto& started = this->nodes[index];
    started.limits = std::make_unique<account_limits>(this->settings, this->random(), time_point{this->now});
    limit_holders holders{{}, index};
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      holders.all.push_back({node_id{"n" + std::to_string(i)},
                             {"10.0.0.1", static_cast<std::uint16_t>(i)},
                             i == index ? 0 : 2});
    }
    started.limits->set_accounts(this->table, time_point{this->now});
    started.limits->set_holders(std::move(holders), time_point{this->now});
    started.waiting.clear();
    started.unread.clear();
  }

  [[nodiscard]] double fraction() { return std::uniform_real_distribution<double>{}(this->random); }

  void send(const message& sent) {
    const bool is_cut =
        this->nodes[sent.from].cut_until > this->now || this->nodes[sent.to].cut_until > this->now;
    if (is_cut || this->fraction() < this->loss) {
      return;
    }
    const auto late_ms =
        this->fraction() < this->late ? static_cast<std::int64_t>(this->fraction() * 1500) : 0;
    this->in_flight.emplace(this->now + this->one_way_ms + late_ms, sent);
    if (this->fraction() < this->late) {
      this->in_flight.emplace(this->now + 2 * this->one_way_ms, sent);
    }
  }

  void admit(node& at) {
    ++at.admitted;
    this->admissions.push_back(this->now);
  }

  void serve_waiting(node& at) {
    const time_point time{this->now};
    while (!at.waiting.empty()) {
      if (at.limits->try_again(this->account, time) == account_admission::admitted) {
        this->admit(at);
      } else if (this->now - at.waiting.front() >= 150) {
        static_cast<void>(at.limits->stop_waiting(this->account, true, time));
        ++at.rejected;
      } else {
        return;
      }
      at.waiting.pop_front();
    }
  }

  void send_asks(std::size_t index) {
    for (const auto& asked : this->nodes[index].limits->take_asks(time_point{this->now})) {
      this->send({index, asked.to.port, asked.ask, {}});
    }
  }

  void receive(const message& received) {
    auto& at = this->nodes[received.to];
    if (!received.ask) {
      this->accepted_grants += at.limits->on_grant(received.grant, time_point{this->now}) ? 1 : 0;
      this->serve_waiting(at);
    } else if (const auto grant = at.limits->on_ask(*received.ask, time_point{this->now})) {
      this->send({received.to, received.from, std::nullopt, *grant});
    }
  }

  void step() {
    ++this->now;
    while (!this->in_flight.empty() && this->in_flight.begin()->first <= this->now) {
      const auto next = this->in_flight.begin()->second;
      this->in_flight.erase(this->in_flight.begin());
      this->nodes[next.to].unread.push_back(next);
    }
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      auto& at = this->nodes[i];
      if (at.stopped_until > this->now) {
        continue;
      }
      for (const auto& received : std::exchange(at.unread, {})) {
        this->receive(received);
      }
      const double expected = at.demand_per_second / 1000;
      for (int left = std::poisson_distribution<int>{expected}(this->random); left > 0; --left) {
        this->arrivals.push_back(this->now);
        const auto decision = at.limits->try_admit(this->account, time_point{this->now});
        if (decision.admission == account_admission::admitted) {
          this->admit(at);
        } else if (decision.admission == account_admission::waits) {
          at.waiting.push_back(this->now);
          this->send_asks(i);
        } else {
          ++at.rejected;
        }
      }
      if (this->now % 25 == static_cast<std::int64_t>(i % 25)) {
        this->serve_waiting(at);
        this->send_asks(i);
      }
    }
  }

  void run_for(std::int64_t ms) {
    for (std::int64_t i = 0; i < ms; ++i) {
      this->step();
    }
  }

  /// \brief Returns the largest number of requests that were admitted in one window, from `begin` on.
  [[nodiscard]] std::size_t most_in_a_window(std::int64_t begin = 0) const {
    std::size_t most = 0;
    auto first = std::lower_bound(this->admissions.begin(), this->admissions.end(), begin);
    for (auto last = first; last != this->admissions.end(); ++last) {
      while (*first <= *last - this->settings.window.ms) {
        ++first;
      }
      most = std::max(most, static_cast<std::size_t>(last - first) + 1);
    }
    return most;
  }

  /// \brief Returns how many of the requests since `begin` one bucket for all nodes together would admit.
  [[nodiscard]] int admitted_by_one_bucket(double rate, double burst, std::int64_t begin) const {
    int admitted = 0;
    double tokens = burst;
    auto last = begin;
    for (const auto at : this->arrivals) {
      if (at >= begin) {
        tokens = std::min(burst, tokens + rate * static_cast<double>(at - std::exchange(last, at)) / 1000);
        admitted += tokens >= 1 ? 1 : 0;
        tokens -= tokens >= 1 ? 1 : 0;
      }
    }
    return admitted;
  }

  [[nodiscard]] double bound(double rate, double burst) const {
    const auto window_s = static_cast<double>(this->settings.window.ms) / 1000;
    return (rate * window_s + burst) * (1 + this->settings.overage) + this->settings.slack;
  }

  account_id account{"a"};
  account_limit_settings settings;
  std::shared_ptr<const account_table> table;
  std::mt19937 random;
  std::vector<node> nodes;
  std::multimap<std::int64_t, message> in_flight;
  std::vector<std::int64_t> arrivals;
  std::vector<std::int64_t> admissions;
  std::int64_t now{1000};
  std::int64_t one_way_ms{55};
  double loss{0};
  /// Probability that a message is late, and that it is received twice.
  double late{0};
  int accepted_grants{0};
};

}  // namespace zinnia
