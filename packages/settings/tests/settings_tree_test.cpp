// Settings trees: inheritance with origins, differences, JSON form, rejected input and checks of shifts.
#include <gtest/gtest.h>

#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {
namespace {

const char* const tree_text = R"(
tree: test
settings: {queue_limit: 10, miss_penalty_percent: 5}
places:
  klang: {domains: {klang-a: {clients: [10.1.0.0/17]}, klang-b: {clients: [10.1.128.0/17]}}}
  penang: {domains: {penang-a: {}}}
services:
  crewdesk:
    settings: {miss_penalty_percent: 20}
    regions:
      klang:
        settings: {miss_penalty_percent: 30, leave_homes: never}
        domains:
          klang-a: {settings: {queue_limit: 99}, upstreams: ["10.0.0.1:80"]}
          klang-b: {upstreams: ["10.0.0.2:80"]}
links:
  - {from: klang, to: penang, delay_ms: 55, capacity: 10, caps: {crewdesk: 10}}
)";

[[nodiscard]] settings_document make_document(const std::string& text) {
  return {"edit", "tester", text, {}};
}

TEST(settings_tree, domain_inherits_from_region_and_service) {
  const auto tree = settings_tree::parse(make_document(tree_text), "test.yaml");
  ASSERT_TRUE(tree) << tree.last_error().describe();
  const service_id service{"crewdesk"};
  const auto at_domain = tree->effective(service, region_id{"klang"}, failure_domain_id{"klang-a"});
  EXPECT_EQ(at_domain.values.queue_limit, 99);
  EXPECT_EQ(at_domain.values.miss_penalty_percent, 30);
  EXPECT_EQ(at_domain.values.spillover(), spillover_policy::never);
  EXPECT_EQ(at_domain.origins.at("queue_limit"), "services.crewdesk.regions.klang.domains.klang-a");
  EXPECT_EQ(at_domain.origins.at("miss_penalty_percent"), "services.crewdesk.regions.klang");
  EXPECT_FALSE(at_domain.origins.contains("own_region_weight"));
  const auto elsewhere = tree->effective(service, region_id{"penang"});
  EXPECT_EQ(elsewhere.values.queue_limit, 10);
  EXPECT_EQ(elsewhere.origins.at("queue_limit"), "settings");
  EXPECT_EQ(elsewhere.values.miss_penalty_percent, 20);
}

TEST(settings_tree, a_tree_without_places_names_line_and_field) {
  const auto tree = settings_tree::parse(make_document("\ntree: test\n"), "test.yaml");
  ASSERT_FALSE(tree);
  EXPECT_EQ(tree.last_error().describe(),
            "test.yaml:2: places: at least one region with a failure domain is required");
}

TEST(settings_tree, diff_lists_only_changed_paths) {
  const auto before = settings_tree::parse(make_document(tree_text), "a");
  std::string changed = tree_text;
  changed.replace(changed.find("queue_limit: 99"), 15, "queue_limit: 98");
  const auto after = settings_tree::parse(make_document(changed), "b");
  const auto changes = diff(*before, *after);
  ASSERT_EQ(changes.size(), 1);
  EXPECT_EQ(changes[0].path, "services.crewdesk.regions.klang.domains.klang-a.queue_limit");
  EXPECT_EQ(changes[0].before, "99");
  EXPECT_EQ(changes[0].after, "98");
}

TEST(settings_document, round_trips_through_json) {
  settings_document document = make_document(tree_text);
  document.shifts.push_back(
      {"s", shift_kind::move, "klang", service_id{"crewdesk"}, region_id{"penang"}, 40, 123});
  const auto read = decode_settings_document(encode(document));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->tree_text, document.tree_text);
  ASSERT_EQ(read->shifts.size(), 1);
  EXPECT_EQ(read->shifts[0].kind, shift_kind::move);
  EXPECT_EQ(read->shifts[0].percent, 40);
  EXPECT_FALSE(decode_settings_document("{\"edit_id\": 3}"));
}

/// The author and the names in a shift come from the command line and the environment.
TEST(settings_document, text_that_is_not_utf8_does_not_end_the_process) {
  settings_document document = make_document(tree_text);
  document.author = "Jos\xe9";
  document.shifts.push_back({"s", shift_kind::drain_region, "kl\xff", {}, {}, 100, 0});
  std::string encoded;
  ASSERT_NO_THROW(encoded = encode(document));
  const auto read = decode_settings_document(encoded);
  ASSERT_TRUE(read) << read.last_error().describe();
  EXPECT_EQ(read->author, "Jos\xef\xbf\xbd");
  EXPECT_EQ(read->tree_text, document.tree_text);
}

struct invalid_input {
  const char* name;
  const char* find;
  const char* replacement;
  const char* expected;
};

class invalid_trees : public testing::TestWithParam<invalid_input> {};

TEST_P(invalid_trees, are_rejected_with_a_descriptive_error) {
  std::string text = tree_text;
  const std::string find = GetParam().find;
  ASSERT_NE(text.find(find), std::string::npos);
  text.replace(text.find(find), find.size(), GetParam().replacement);
  const auto tree = settings_tree::parse(make_document(text), "test.yaml");
  ASSERT_FALSE(tree);
  EXPECT_NE(tree.last_error().describe().find(GetParam().expected), std::string::npos)
      << tree.last_error().describe();
}

INSTANTIATE_TEST_SUITE_P(
    table, invalid_trees,
    testing::Values(
        invalid_input{"unknown setting", "queue_limit: 10", "queue_limt: 10",
                      "test.yaml:3: unknown setting 'queue_limt'; did you mean 'queue_limit'?"},
        invalid_input{"unit in value", "queue_limit: 10", "queue_limit: 10ms",
                      "'10ms' is not a whole number"},
        invalid_input{"out of range", "miss_penalty_percent: 5", "miss_penalty_percent: 1095",
                      "1095 is out of range; allowed: 0 to 1000"},
        invalid_input{"wrong word", "leave_homes: never", "leave_homes: maybe",
                      "leave_homes: 'maybe' is not allowed; allowed: never, while-spare"},
        invalid_input{"caps over capacity", "capacity: 10", "capacity: 9",
                      "their sum 10 is over the link's capacity 9"},
        invalid_input{"unknown region", "from: klang", "from: klagn",
                      "unknown region 'klagn'; did you mean 'klang'?"},
        invalid_input{"unknown domain", "          klang-b:", "          klang-c:",
                      "unknown failure domain of region klang 'klang-c'"},
        invalid_input{"bad block", "10.1.0.0/17", "10.1.0.0/33", "'10.1.0.0/33' is not a block"},
        invalid_input{"overlap", "10.1.128.0/17", "10.1.0.0/24", "overlap"},
        invalid_input{"twice", "10.0.0.2:80", "10.0.0.1:80", "declared twice"},
        invalid_input{"no delay", "delay_ms: 55, ", "",
                      "test.yaml:17: delay_ms: a value is missing; allowed: 0 to 10000"},
        invalid_input{"no capacity", "capacity: 10, ", "",
                      "test.yaml:17: capacity: a value is missing; allowed: 0 to 10000000"},
        invalid_input{"no places", "places:", "tree_of_places:", "unknown field 'tree_of_places'"},
        invalid_input{"region without domains", "penang: {domains: {penang-a: {}}}", "penang: {}",
                      "test.yaml:6: places: region 'penang' has no failure domain"},
        invalid_input{"region with no domain", "{penang-a: {}}", "{}",
                      "test.yaml:6: places: region 'penang' has no failure domain"},
        invalid_input{"domain of two regions", "penang-a: {}", "klang-b: {}",
                      "test.yaml:6: places: failure domain 'klang-b' is in regions klang and penang"},
        invalid_input{"list of domains", "{penang-a: {}}", "[penang-a]",
                      "test.yaml:6: places: domains of region 'penang': expected a mapping"},
        invalid_input{"other encoding", "tree: test", "tree: t\xe9st", "test.yaml:2: the text is not UTF-8"},
        invalid_input{"not yaml", "tree: test", "tree: [test", "test.yaml"}),
    [](const auto& info) {
      std::string name = info.param.name;
      std::replace(name.begin(), name.end(), ' ', '_');
      return name;
    });

TEST(shifts, that_drain_all_upstreams_of_a_service_are_rejected) {
  settings_document document = make_document(tree_text);
  document.shifts.push_back({"a", shift_kind::drain_upstream, "10.0.0.1:80", {}, {}, 100, 0});
  EXPECT_TRUE(settings_tree::parse(document, "test.yaml"));
  document.shifts.push_back({"b", shift_kind::drain_domain, "klang-b", {}, {}, 100, 0});
  const auto tree = settings_tree::parse(document, "test.yaml");
  ASSERT_FALSE(tree);
  EXPECT_NE(tree.last_error().message.find("leave service 'crewdesk' with no upstream"), std::string::npos);
}

TEST(shifts, between_regions_without_a_capped_link_are_rejected) {
  settings_document document = make_document(tree_text);
  document.shifts.push_back(
      {"m", shift_kind::move, "penang", service_id{"crewdesk"}, region_id{"klang"}, 50, 0});
  const auto tree = settings_tree::parse(document, "test.yaml");
  ASSERT_FALSE(tree);
  EXPECT_NE(tree.last_error().message.find("no link with a cap"), std::string::npos);
}

}  // namespace
}  // namespace zinnia
