// Lost links told apart from servers that fail, for all kinds of cuts and few servers.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include "zinnia/routing/link_monitor.hpp"

using namespace zinnia;

namespace {

/// What the servers do with calls from this node.
enum class reach : unsigned char { answers, hangs, resets, refuses, slow };

/// A node that sends a request to the servers in turn every `period`, with a deadline of 500 ms, and runs
/// link checks as the gateway does. Time passes in steps of 5 ms.
class simulated_node {
 public:
  explicit simulated_node(int server_count, duration period_in = duration{20})
      : period{period_in}, behaviour(static_cast<std::size_t>(server_count), reach::answers) {}

  void set_all(reach how) { this->behaviour.assign(this->behaviour.size(), how); }
  void set(std::size_t server, reach how) { this->behaviour.at(server) = how; }
  /// New connections get another treatment than calls on connections that are open.
  void set_new_connections(reach how) { this->new_connections = how; }

  void run(duration length) {
    const auto end = this->now + length;
    for (; this->now < end; this->now = this->now + step) {
      this->finish_due();
      if (!this->links.is_lost(this->now) && this->now >= this->next_send) {
        this->next_send = this->now + this->period;
        this->send();
      }
      this->links.update(this->now, this->open_connections);
      if (this->links.wants_checks(this->now)) {
        this->check();
      }
      this->states.insert(this->links.state());
      if (this->links.is_lost(this->now) && this->lost_at == time_point{}) {
        this->lost_at = this->now;
      }
      if (!this->links.is_lost(this->now) && this->lost_at > time_point{} && this->up_at == time_point{}) {
        this->up_at = this->now;
      }
    }
  }
  /// Forgets what has been seen, from now on.
  void observe() {
    this->states.clear();
    this->lost_at = this->up_at = {};
    this->observed_from = this->now;
    this->checks = 0;
  }
  [[nodiscard]] duration time_to_loss() const { return this->lost_at - this->observed_from; }
  [[nodiscard]] bool was_lost() const { return this->states.contains(link_condition::lost); }

  static constexpr duration step{5};
  bool open_connections{false};
  link_monitor links;
  std::set<link_condition> states;
  time_point now{1'000'000};
  time_point lost_at;
  time_point up_at;
  int checks{0};

 private:
  static constexpr duration deadline{500};

  void at(duration later, std::function<void()> action) {
    this->due.emplace(this->now + later, std::move(action));
  }
  void finish_due() {
    while (!this->due.empty() && this->due.begin()->first <= this->now) {
      const auto action = std::move(this->due.begin()->second);
      this->due.erase(this->due.begin());
      action();
    }
  }
  void send() {
    const auto server = this->next_server++ % this->behaviour.size();
    this->links.on_sent(server, this->now);
    switch (this->behaviour[server]) {
      case reach::answers:
      case reach::slow:
        this->at(this->behaviour[server] == reach::slow ? duration{450} : duration{40}, [this, server] {
          this->links.on_life(this->now);
          this->links.on_ended(server, this->now);
        });
        return;
      case reach::hangs:
        this->at(deadline, [this, server] { this->links.on_ended(server, this->now); });
        return;
      case reach::resets:
      case reach::refuses:
        this->at(step, [this, server] {
          this->links.on_failed(server, this->behaviour[server] == reach::refuses, this->now);
          this->links.on_ended(server, this->now);
        });
        return;
    }
  }
  void check() {
    std::vector<link_check_candidate> candidates;
    for (std::size_t i = 0; i < this->behaviour.size(); ++i) {
      candidates.push_back({failure_domain_id{"d" + std::to_string(i % 3)}, service_id{"s"}, true});
    }
    std::vector<std::uint64_t> chosen;
    for (const auto position : choose_link_checks(candidates, this->rounds++)) {
      chosen.push_back(position);
    }
    this->links.on_checks_started(chosen, this->now);
    for (const auto server : chosen) {
      ++this->checks;
      const auto how = this->new_connections.value_or(this->behaviour[server]);
      const auto started = this->now;
      if (how == reach::answers || how == reach::slow) {
        this->at(how == reach::slow ? duration{300} : duration{40},
                 [this, server, started] { this->links.on_check_answered(server, started, this->now); });
      } else {
        this->at(how == reach::hangs ? duration{1000} : step,
                 [this, server] { this->links.on_check_failed(server, this->now); });
      }
    }
  }

  duration period;
  std::vector<reach> behaviour;
  std::optional<reach> new_connections;
  time_point observed_from;
  time_point next_send;
  std::size_t next_server{0};
  std::size_t rounds{0};
  std::multimap<time_point, std::function<void()>> due;
};

TEST(link_monitor, recognises_each_kind_of_cut_in_time_with_many_and_few_servers_and_requests) {
  for (const auto how : {reach::hangs, reach::resets, reach::refuses}) {
    for (const int servers : {1, 2, 3, 36}) {
      for (const auto period : {duration{5}, duration{20}, duration{250}}) {
        simulated_node node{servers, period};
        node.run(duration{3000});
        EXPECT_FALSE(node.was_lost());
        node.observe();
        node.set_all(how);
        node.run(duration{4000});
        ASSERT_TRUE(node.was_lost()) << static_cast<int>(how) << " " << servers << " " << period.ms;
        EXPECT_LT(node.time_to_loss(), duration{1700})
            << static_cast<int>(how) << " " << servers << " " << period.ms;
        EXPECT_TRUE(node.links.is_lost(node.now));
        node.set_all(reach::answers);
        node.observe();
        node.run(duration{1500});
        EXPECT_FALSE(node.links.is_lost(node.now)) << "servers: " << servers;
      }
    }
  }
}

TEST(link_monitor, takes_servers_that_fail_for_what_they_are) {
  struct failure {
    const char* name;
    std::set<std::size_t> servers;
    reach how;
  };
  std::set<std::size_t> domain;
  for (std::size_t i = 0; i < 36; i += 3) {
    domain.insert(i);
  }
  for (const auto& row : std::vector<failure>{{"one dead", {0}, reach::refuses},
                                              {"one silent", {0}, reach::hangs},
                                              {"one slow", {0}, reach::slow},
                                              {"two reset", {0, 1}, reach::resets},
                                              {"a domain without power", domain, reach::refuses},
                                              {"a silent domain", domain, reach::hangs}}) {
    simulated_node node{36};
    node.run(duration{1000});
    for (const auto server : row.servers) {
      node.set(server, row.how);
    }
    node.observe();
    node.run(duration{10'000});
    EXPECT_FALSE(node.was_lost()) << row.name;
    EXPECT_LE(node.checks, 33) << row.name;
  }
}

/// Guards against crash verdicts that are dropped since the three servers of a round are among those crashed.
TEST(link_monitor, does_not_take_crashes_of_most_servers_for_lost_links) {
  simulated_node node{12, duration{250}};
  node.run(duration{4000});
  for (std::size_t server = 0; server < 9; ++server) {
    node.set(server, reach::refuses);
  }
  node.observe();
  node.run(duration{10'000});
  EXPECT_FALSE(node.was_lost());
  EXPECT_FALSE(node.states.contains(link_condition::half_open));
}

TEST(link_monitor, does_not_take_slow_servers_or_a_pause_for_lost_links) {
  for (const auto period : {duration{20}, duration{400}, duration{5000}}) {
    simulated_node node{5, period};
    node.set_all(reach::slow);
    node.run(duration{20'000});
    EXPECT_FALSE(node.was_lost()) << period.ms;
  }
}

TEST(link_monitor, keeps_half_open_links_apart_from_lost_ones) {
  simulated_node node{6};
  node.run(duration{1000});
  node.set_new_connections(reach::refuses);
  // Requests that need new connections are refused, others are answered.
  node.set(0, reach::refuses);
  node.set(3, reach::refuses);
  node.observe();
  node.run(duration{5000});
  EXPECT_EQ(node.links.state(), link_condition::half_open);
  EXPECT_FALSE(node.was_lost());
  node.set_all(reach::refuses);
  node.run(duration{1000});
  EXPECT_EQ(node.links.state(), link_condition::lost);
  node.set_all(reach::answers);
  node.set_new_connections(reach::answers);
  node.run(duration{1500});
  EXPECT_EQ(node.links.state(), link_condition::up);
}

TEST(link_monitor, keeps_using_open_connections_that_were_idle_when_new_ones_failed) {
  simulated_node node{6, duration{1000}};
  node.run(duration{3000});
  node.open_connections = true;
  node.set_new_connections(reach::refuses);
  node.set(3, reach::refuses);
  node.set(4, reach::refuses);
  node.observe();
  node.run(duration{10'000});
  EXPECT_EQ(node.links.state(), link_condition::half_open);
  EXPECT_FALSE(node.was_lost());
  node.set_all(reach::hangs);
  node.run(duration{3000});
  EXPECT_EQ(node.links.state(), link_condition::lost) << "open connections turned out to be of no use";
}

TEST(link_monitor, stays_lost_while_the_links_come_and_go) {
  simulated_node node{12};
  node.run(duration{1000});
  int regained = 0;
  bool was_lost = false;
  for (int i = 0; i < 40; ++i) {
    node.set_all(i % 2 == 0 ? reach::resets : reach::answers);
    for (int part = 0; part < 25; ++part) {
      node.run(duration{10});
      regained += was_lost && !node.links.is_lost(node.now) ? 1 : 0;
      was_lost = node.links.is_lost(node.now);
    }
  }
  EXPECT_LE(regained, 5) << "of 20 times";
  node.set_all(reach::answers);
  node.run(duration{2000});
  EXPECT_FALSE(node.links.is_lost(node.now));
}

TEST(link_monitor, checks_few_servers_at_a_time_while_the_links_are_lost) {
  simulated_node node{200};
  node.run(duration{1000});
  node.set_all(reach::hangs);
  node.run(duration{2000});
  node.observe();
  node.run(duration{10'000});
  EXPECT_LE(node.checks, 120 + 3);
  EXPECT_GE(node.checks, 110);
}

TEST(link_monitor, is_up_again_if_no_server_is_left_that_could_be_checked) {
  link_monitor links;
  const time_point now{1'000'000};
  links.request_round(now);
  EXPECT_TRUE(links.wants_checks(now));
  links.on_checks_started({}, now);
  EXPECT_EQ(links.state(), link_condition::up);
}

TEST(link_monitor, checks_again_if_the_answered_check_began_before_the_round) {
  constexpr std::uint64_t server = 1;
  const time_point begin{1'000'000};
  link_monitor links;
  links.request_round(begin);
  links.on_checks_started({server}, begin);
  links.on_check_answered(server, begin - duration{5}, begin + duration{5});
  EXPECT_EQ(links.state(), link_condition::suspected);
  ASSERT_TRUE(links.wants_checks(begin + duration{5}));
  links.on_checks_started({server}, begin + duration{5});
  links.on_check_answered(server, begin + duration{5}, begin + duration{10});
  EXPECT_EQ(links.state(), link_condition::up);
}

TEST(link_checks, go_to_servers_in_use_of_different_domains_and_services_in_turn) {
  std::vector<link_check_candidate> candidates;
  for (int i = 0; i < 12; ++i) {
    candidates.push_back({failure_domain_id{"d" + std::to_string(i / 4)},
                          service_id{"s" + std::to_string(i / 2 % 2)}, i != 0});
  }
  std::set<std::size_t> seen;
  for (std::size_t round = 0; round < 12; ++round) {
    const auto chosen = choose_link_checks(candidates, round);
    ASSERT_EQ(chosen.size(), link_checks_per_round);
    std::set<failure_domain_id> domains;
    std::set<service_id> services;
    for (const auto position : chosen) {
      seen.insert(position);
      domains.insert(candidates[position].domain);
      services.insert(candidates[position].service);
    }
    EXPECT_EQ(domains.size(), 3U);
    EXPECT_EQ(services.size(), 2U);
  }
  EXPECT_FALSE(seen.contains(0));
  EXPECT_GE(seen.size(), 6U);
  EXPECT_EQ(choose_link_checks({}, 0).size(), 0U);
  EXPECT_EQ(choose_link_checks({candidates[0]}, 5).size(), 1U);
}

}  // namespace
