// From whom a node that stands by hears of changes, and when it must not rely on that.
#include <gtest/gtest.h>

#include <algorithm>

#include "zinnia/membership/member_table.hpp"

using namespace zinnia;

namespace {

const location here{failure_domain_id{"a"}, region_id{"r"}};
const location beside{failure_domain_id{"b"}, region_id{"r"}};

class news_source : public testing::Test {
 protected:
  void add(const std::string& id, const location& where, int cpu_milli) {
    this->table.add({node_id{id}, where, id + ":80", {}, "", incarnation_id{"1"}, {cpu_milli, 1000}},
                    this->now);
  }
  void hear(const std::string& id, bool watching, std::int64_t change = 5) {
    this->table.on_beat(
        {node_id{id}, incarnation_id{"1"}, true, false, {}, watching, {object_version{change}}}, this->now);
  }
  [[nodiscard]] std::string source() {
    static_cast<void>(this->table.alive(this->now));
    const auto found = this->table.news_source(this->now);
    return found ? found->id.str() : "";
  }
  [[nodiscard]] bool is_behind(std::int64_t known) const {
    return this->table.is_behind({object_version{known}}, this->now);
  }
  void SetUp() override {
    this->add("me", here, 100);
    this->add("l1", here, 500);
    this->add("l2", here, 500);
    this->add("far", beside, 500);
    this->table.set_self(true, false, {});
  }

  time_point now{10'000};
  member_table table{node_id{"me"}};
};

TEST_F(news_source, is_a_serving_node_nearby_that_watches) {
  this->hear("far", true);
  EXPECT_EQ(this->source(), "") << "nobody serves here but this node";
  this->hear("l1", false);
  this->hear("l2", true);
  EXPECT_EQ(this->source(), "l2") << "l1 does not watch";
  this->hear("l1", true);
  const auto first = this->source();
  EXPECT_FALSE(first.empty());
  this->now = this->now + heartbeat_silence;
  this->hear(first == "l1" ? "l2" : "l1", true);
  EXPECT_NE(this->source(), first) << "it fell silent";
  this->now = this->now + heartbeat_silence;
  EXPECT_EQ(this->source(), "") << "all fell silent";
}

TEST_F(news_source, a_node_that_serves_follows_nobody) {
  this->add("me", here, 500);
  this->hear("l1", true);
  this->hear("l2", true);
  EXPECT_EQ(this->source(), "");
}

/// Equal nodes all serve. Four of them watch; the others follow these, and nobody follows one that may follow
/// it.
TEST(news_sources, of_many_equal_nodes_four_watch) {
  constexpr int nodes = 12;
  const auto name = [](int i) { return "n" + std::to_string(i); };
  const time_point now{10'000};
  std::vector<bool> watching(nodes, true);
  std::vector<std::string> followed(nodes);
  // Each node decides in turn, as heartbeats tell of the others' choices.
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < nodes; ++i) {
      member_table table{node_id{name(i)}};
      for (int k = 0; k < nodes; ++k) {
        table.add({node_id{name(k)}, here, "", {}, "", incarnation_id{"1"}, {}}, now);
        table.on_beat({node_id{name(k)}, incarnation_id{"1"}, true, false, {}, watching[k], {}}, now);
      }
      table.set_self(true, false, {});
      static_cast<void>(table.alive(now));
      const auto source = table.news_source(now);
      watching[i] = !source;
      followed[i] = source ? source->id.str() : "";
    }
  }
  EXPECT_EQ(std::count(watching.begin(), watching.end(), true), 4);
  for (int i = 0; i < nodes; ++i) {
    EXPECT_TRUE(followed[i].empty() || watching[std::stoi(followed[i].substr(1))]) << i;
  }
}

TEST_F(news_source, tells_of_changes_that_others_have_heard) {
  this->hear("far", true, 9);
  EXPECT_TRUE(this->is_behind(8));
  EXPECT_FALSE(this->is_behind(9));
  this->hear("far", false, 9);
  EXPECT_FALSE(this->is_behind(8)) << "it no longer watches itself";
  this->hear("far", true, 9);
  this->now = this->now + heartbeat_silence;
  EXPECT_FALSE(this->is_behind(8)) << "it fell silent";
}

}  // namespace
