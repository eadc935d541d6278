// One node machine driven by hand, for orders of events that the random walk seldom meets.
#include "zinnia/steering/node_machine.hpp"

#include <gtest/gtest.h>

namespace zinnia {
namespace {

constexpr lease_terms terms{{100}, {1000}, {50}};
const region_id near{"near"};

class idle_traffic final : public occupancy {
 public:
  [[nodiscard]] bool is_idle(const holding_id& /*holding*/) const override { return true; }
  [[nodiscard]] std::int64_t in_flight(const share_key& /*key*/) const override { return 0; }
  [[nodiscard]] std::vector<service_load> loads(time_point /*now*/) const override { return {}; }
  [[nodiscard]] bool is_journal_behind() const override { return false; }
  [[nodiscard]] std::int64_t total_in_flight() const override { return 0; }
};

[[nodiscard]] incarnation_id run_of(const std::string& name, int run) {
  return incarnation_id{name + '#' + std::to_string(run)};
}

class machine_test : public testing::Test {
 protected:
  static holdings_table table_of(const std::vector<std::string>& names) {
    holdings_table table;
    for (const auto& name : names) {
      auto& node = table.nodes[node_id{name}];
      node.domain = failure_domain_id{name};
      node.incarnation = run_of(name, 1);
      node.renewal = 1;
    }
    return table;
  }

  void start(const std::string& name, int run) {
    this->machine = std::make_unique<node_machine>(
        node_identity{node_id{name}, near, failure_domain_id{name}, run_of(name, run), "c:1", "p:1"}, terms,
        this->traffic, 1);
  }

  void read(const holdings_table& table) {
    this->machine->object_read(this->now, holdings_key(near), store_outcome::ok,
                               object_version{++this->version}, encode(table));
  }

  void tick(std::int64_t ms) {
    this->now = this->now + duration{ms};
    this->machine->tick(this->now, this->now.ms);
  }

  void heartbeat_from(const std::string& name) {
    heartbeat beat;
    beat.sequence = ++this->sequence;
    beat.incarnation = run_of(name, 1);
    beat.region = near;
    this->machine->receive(this->now, node_id{name}, beat);
  }

  /// The table that the machine wants to write, if it does.
  [[nodiscard]] std::optional<holdings_table> take_write() {
    std::optional<holdings_table> written;
    this->promises = 0;
    for (const auto& action : this->machine->take_actions()) {
      if (const auto* const write = std::get_if<write_action>(&action)) {
        written = *decode_holdings_table(write->value);
      }
      const auto* const send = std::get_if<send_action>(&action);
      this->promises += send != nullptr && std::holds_alternative<heir_promise>(send->message) ? 1 : 0;
      const auto* const beat = send == nullptr ? nullptr : std::get_if<heartbeat>(&send->message);
      this->last_sent = beat == nullptr ? this->last_sent : beat->sequence;
    }
    return written;
  }

  void answer_write(store_outcome outcome) {
    this->machine->object_written(this->now, holdings_key(near), outcome, object_version{++this->version},
                                  this->now);
  }

  idle_traffic traffic;
  std::unique_ptr<node_machine> machine;
  time_point now{100'000};
  std::int64_t version{0};
  std::uint64_t sequence{0};
  std::uint64_t last_sent{0};
  int promises{0};
};

TEST_F(machine_test, heir_promises_nothing_while_its_release_is_under_way) {
  this->start("b", 1);
  auto table = this->table_of({"a", "b"});
  table.nodes[node_id{"a"}].heirs = {node_id{"b"}};
  this->read(table);
  this->heartbeat_from("a");
  static_cast<void>(this->take_write());
  EXPECT_EQ(this->promises, 1);
  std::optional<holdings_table> written;
  for (int i = 0; i < 30 && !(written && !written->nodes.contains(node_id{"a"})); ++i) {
    this->tick(50);
    written = this->take_write();
    if (written && written->nodes.contains(node_id{"a"})) {
      this->answer_write(store_outcome::unavailable);
    }
  }
  ASSERT_TRUE(written && !written->nodes.contains(node_id{"a"})) << "a was never taken over";
  this->heartbeat_from("a");
  static_cast<void>(this->take_write());
  EXPECT_EQ(this->promises, 0);
  // A lost answer settles nothing; only the store's word does.
  this->answer_write(store_outcome::unknown);
  this->heartbeat_from("a");
  static_cast<void>(this->take_write());
  EXPECT_EQ(this->promises, 0);
  this->read(table);
  this->heartbeat_from("a");
  static_cast<void>(this->take_write());
  EXPECT_EQ(this->promises, 1);
}

TEST_F(machine_test, promise_of_an_heir_that_is_being_dropped_does_not_count) {
  this->start("a", 1);
  auto table = this->table_of({"a", "b", "c", "d"});
  table.nodes[node_id{"a"}].heirs = {node_id{"b"}, node_id{"c"}};
  this->read(table);
  std::optional<holdings_table> written;
  for (int i = 0; i < 60 && !written; ++i) {
    this->tick(50);
    this->heartbeat_from("c");
    this->heartbeat_from("d");
    written = this->take_write();
    const bool swaps = written && written->nodes.at(node_id{"a"}).heirs.contains(node_id{"d"});
    if (written && !swaps) {
      this->answer_write(store_outcome::unavailable);
      written.reset();
    }
  }
  ASSERT_TRUE(written.has_value()) << "the silent heir was never replaced";
  const auto before = this->machine->view().valid_until;
  this->machine->receive(this->now, node_id{"b"}, heir_promise{this->last_sent, run_of("a", 1)});
  EXPECT_EQ(this->machine->view().valid_until, before);
  this->machine->receive(this->now, node_id{"c"}, heir_promise{this->last_sent, run_of("a", 1)});
  EXPECT_GT(this->machine->view().valid_until, before);
}

TEST_F(machine_test, restarted_node_leaves_its_former_shares_alone_for_a_quarantine) {
  const std::string tree =
      "settings: {longest_deadline_ms: 3000, default_deadline_ms: 1000}\n"
      "places: {near: {domains: {a: {}}}, far: {domains: {f: {}}}}\n"
      "services: {desk: {}}\n"
      "links: [{from: near, to: far, delay_ms: 1, capacity: 9, caps: {desk: 9}}]\n";
  const share_key key{region_id{"far"}, service_id{"desk"}};
  this->start("a", 2);
  auto table = this->table_of({"a"});
  table.shares[key][node_id{"a"}] = 9;
  this->read(table);
  this->machine->object_read(this->now, settings_key, store_outcome::ok, object_version{900},
                             encode(settings_document{"e", "t", tree, {}}));
  const auto began = this->now;
  while (this->now < began + duration{6000}) {
    this->tick(50);
    if (this->take_write()) {
      const auto pending = this->machine->view();
      this->answer_write(store_outcome::ok);
    }
    // Deadline 3,000 ms and a term of 1,050 ms with its drift.
    if (this->now < began + duration{4050}) {
      EXPECT_TRUE(this->machine->view().shares.empty()) << this->now.ms - began.ms;
    }
  }
  EXPECT_EQ(this->machine->view().shares.at(key), 9);
}

TEST_F(machine_test, older_settings_are_not_taken_from_anyone) {
  const auto document = [](const std::string& author) {
    return encode(settings_document{
        "e", author, "places: {near: {domains: {a: {}}}}\nservices: {" + author + ": {}}\n", {}});
  };
  this->start("a", 1);
  this->machine->object_read(this->now, settings_key, store_outcome::ok, object_version{7},
                             document("newer"));
  this->machine->receive(this->now, node_id{"b"},
                         object_push{settings_key, object_version{6}, document("older")});
  this->machine->object_read(this->now, settings_key, store_outcome::ok, object_version{5},
                             document("oldest"));
  EXPECT_EQ(this->machine->view().settings_version, object_version{7});
  EXPECT_TRUE(this->machine->view().settings->has_service(service_id{"newer"}));
}

TEST_F(machine_test, settings_that_do_not_parse_keep_the_former_ones_in_force) {
  const std::string good = "places: {near: {domains: {a: {}}}}\nservices: {desk: {}}\n";
  this->start("a", 1);
  this->machine->object_read(this->now, settings_key, store_outcome::ok, object_version{1},
                             encode(settings_document{"e", "t", good, {}}));
  this->machine->object_read(this->now, settings_key, store_outcome::ok, object_version{2}, "not json");
  EXPECT_TRUE(this->machine->view().settings->has_service(service_id{"desk"}));
  EXPECT_FALSE(this->machine->last_settings_error().empty());
}

TEST_F(machine_test, pause_ends_the_lease_until_it_is_confirmed_anew) {
  this->start("a", 1);
  auto table = this->table_of({"a", "b"});
  table.nodes[node_id{"a"}].heirs = {node_id{"b"}};
  this->read(table);
  this->tick(50);
  static_cast<void>(this->take_write());
  this->machine->receive(this->now, node_id{"b"}, heir_promise{this->last_sent, run_of("a", 1)});
  EXPECT_GT(this->machine->view().valid_until, this->now);
  const auto old_sequence = this->last_sent;
  this->tick(terms.term.ms + 1);
  EXPECT_EQ(this->machine->view().valid_until, time_point{});
  // The answer to a heartbeat from before the pause proves nothing.
  this->machine->receive(this->now, node_id{"b"}, heir_promise{old_sequence, run_of("a", 1)});
  EXPECT_EQ(this->machine->view().valid_until, time_point{});
}

}  // namespace
}  // namespace zinnia
