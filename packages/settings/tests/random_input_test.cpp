// Damaged settings trees and documents: an error or a tree that can be used, never an exception.
#include <gtest/gtest.h>

#include "standins/byte_mutator.hpp"
#include "zinnia/settings/settings_tree.hpp"

namespace zinnia {
namespace {

constexpr int tree_count = 3'000;
constexpr int document_count = 20'000;

const std::vector<std::string> trees{R"(
tree: test
settings: &all {queue_limit: 10, miss_penalty_percent: 5}
places:
  klang: {settings: *all, domains: {klang-a: {clients: [10.1.0.0/17]}, klang-b: {clients: [10.1.128.0/17]}}}
  penang: {domains: {penang-a: {}}}
services:
  crewdesk:
    settings: {miss_penalty_percent: 20}
    regions:
      klang:
        settings: {leave_homes: never}
        domains:
          klang-a: {settings: {queue_limit: 99}, upstreams: ["10.0.0.1:80"]}
          klang-b: {upstreams: ["10.0.0.2:80"]}
links:
  - {from: klang, to: penang, delay_ms: 55, capacity: 10, caps: {crewdesk: 10}}
)",
                                     "places: {a: {domains: {b: }}}\n"};

[[nodiscard]] settings_document document_of(const std::string& text) {
  return {"edit", "tester", text, {{"s", shift_kind::drain_domain, "klang-a", {}, {}, 100, 5}}};
}

TEST(random_input, settings_trees_give_an_error_or_a_valid_tree) {
  standins::byte_mutator inputs{trees, 1};
  for (int i = 0; i < tree_count; ++i) {
    const auto document = document_of(inputs.next());
    const auto tree = settings_tree::parse(document, "f");
    if (!tree) {
      EXPECT_FALSE(tree.last_error().message.empty()) << i;
      continue;
    }
    EXPECT_TRUE(diff(*tree, *tree).empty()) << i;
    for (const auto& region : tree->regions()) {
      EXPECT_TRUE(std::any_of(tree->domains().begin(), tree->domains().end(),
                              [&](const auto& domain) { return domain.region == region; }))
          << i << ": " << document.tree_text;
    }
    for (const auto& domain : tree->domains()) {
      for (const auto& setting : setting_table()) {
        const auto value =
            tree->effective(service_id{"crewdesk"}, domain.region, domain.id).values.*(setting.member);
        EXPECT_TRUE(value >= setting.min_value && value <= setting.max_value) << i << ": " << setting.name;
      }
    }
  }
}

TEST(random_input, settings_documents_give_an_error_or_one_that_can_be_encoded) {
  standins::byte_mutator inputs{{encode(document_of(trees[0])), encode(document_of(trees[1]))}, 2};
  for (int i = 0; i < document_count; ++i) {
    const auto decoded = decode_settings_document(inputs.next());
    if (!decoded) {
      EXPECT_FALSE(decoded.last_error().message.empty()) << i;
      continue;
    }
    const auto again = decode_settings_document(encode(*decoded));
    ASSERT_TRUE(again) << i;
    EXPECT_EQ(again->tree_text, decoded->tree_text) << i;
    EXPECT_EQ(again->shifts.size(), decoded->shifts.size()) << i;
  }
}

/// A parser that calls itself for each level must not run out of stack.
TEST(random_input, deeply_nested_trees_give_an_error) {
  constexpr int depth = 200'000;
  for (const std::string level : {"[", "{a: ", "- ", "? "}) {
    std::string text = "places: ";
    for (int i = 0; i < depth; ++i) {
      text += level;
    }
    EXPECT_FALSE(settings_tree::parse(document_of(text), "f")) << level;
  }
}

}  // namespace
}  // namespace zinnia
