// Reads, combines and formats what nodes say of restricted backend servers.
#include "server_report.hpp"

#include <gtest/gtest.h>

namespace zinnia {
namespace {

[[nodiscard]] node_answer answer(const std::string& node, const std::string& restrictions) {
  const auto parsed = parse_restrictions(R"({"restrictions": [)" + restrictions + "]}");
  EXPECT_TRUE(parsed) << parsed.last_error().describe();
  return {node, parsed ? *parsed : std::vector<reported_restriction>{}, ""};
}

constexpr const char* busy_at_first =
    R"({"backend":"b1","service":"desk","domain":"a","reason":"busy","remaining_ms":1200})";
constexpr const char* busy_at_second =
    R"({"backend":"b1","service":"desk","domain":"a","reason":"busy","remaining_ms":300})";
constexpr const char* limited_at_first =
    R"({"backend":"b0","service":"desk","domain":"a","reason":"limited","limit_per_second":3.3,"share_per_second":0.99})";
constexpr const char* limited_at_second =
    R"({"backend":"b0","service":"desk","domain":"a","reason":"limited","limit_per_second":3.3,"share_per_second":0.1})";
constexpr const char* leaving = R"({"backend":"b1","service":"desk","domain":"a","reason":"leaving"})";
constexpr const char* suspended =
    R"({"backend":"b2","service":"admin","domain":"b","reason":"suspended","remaining_ms":0})";

TEST(server_report, one_line_a_server_and_reason_with_the_nodes_that_see_it) {
  const auto report =
      combine({answer("n1", std::string{busy_at_first} + "," + limited_at_first + "," + leaving),
               answer("n2", std::string{busy_at_second} + "," + limited_at_second), answer("n3", suspended)});
  EXPECT_EQ(format_text(report),
            "b2  admin  b  suspended  at 1 of 3 nodes  next health check in 0 ms\n"
            "b0  desk  a  limited  at 2 of 3 nodes  3.3/s for all nodes, 0.1 to 0.99/s a node\n"
            "b1  desk  a  busy  at 2 of 3 nodes  for 300 to 1200 ms\n"
            "b1  desk  a  leaving  at 1 of 3 nodes\n");
}

TEST(server_report, a_node_that_does_not_answer_is_named_and_the_rest_is_shown) {
  const auto report = combine({answer("n1", leaving), {"n2", {}, "unreachable"}});
  EXPECT_EQ(format_text(report), "b1  desk  a  leaving  at 1 of 1 nodes\nnode n2  unreachable\n");
  const auto document = to_json(report);
  EXPECT_EQ(document["missing"].dump(), R"([{"node":"n2","problem":"unreachable"}])");
  EXPECT_EQ(document["nodes"], 1);
}

TEST(server_report, says_so_if_no_server_is_restricted_but_not_if_no_node_answered) {
  EXPECT_EQ(format_text(combine({answer("n1", ""), answer("n2", "")})),
            "no backend server is restricted at 2 nodes\n");
  EXPECT_EQ(format_text(combine({{"n1", {}, "unreachable"}})), "node n1  unreachable\n");
}

TEST(server_report, json_has_the_same_values) {
  const auto document =
      to_json(combine({answer("n1", std::string{busy_at_first} + "," + limited_at_first),
                       answer("n2", std::string{busy_at_second} + "," + limited_at_second)}));
  const auto expected = nlohmann::json::parse(R"({"nodes": 2, "missing": [], "servers": [
    {"backend": "b0", "service": "desk", "domain": "a", "reason": "limited", "nodes": 2,
     "limit_per_second": 3.3, "share_per_second": {"least": 0.1, "most": 0.99}},
    {"backend": "b1", "service": "desk", "domain": "a", "reason": "busy", "nodes": 2,
     "remaining_ms": {"least": 300, "most": 1200}}]})");
  EXPECT_EQ(document, expected) << document.dump();
}

/// An answer of another version or of a broken process must not end the command.
TEST(server_report, an_answer_that_cannot_be_read_names_the_field) {
  struct row {
    const char* body;
    const char* expected;
  };
  const std::vector<row> cases{
      {"", "restrictions: not readable; allowed: a list"},
      {"[]", "restrictions: not readable; allowed: a list"},
      {"{\"restrictions\":", "restrictions: not readable; allowed: a list"},
      {R"({"restrictions":{}})", "restrictions: not readable; allowed: a list"},
      {R"({"restrictions":[7]})", "restrictions[0].backend: not readable; allowed: a text"},
      {R"({"restrictions":[{"backend":"b","service":"s","domain":"d","reason":1}]})",
       "restrictions[0].reason: not readable; allowed: a text"},
      {R"({"restrictions":[{"backend":"b","service":"s","domain":"d","reason":"busy","remaining_ms":-1}]})",
       "restrictions[0].remaining_ms: not readable; allowed: a whole number from 0"},
      {R"({"restrictions":[{"backend":"b","service":"s","domain":"d","reason":"busy","remaining_ms":1e300}]})",
       "restrictions[0].remaining_ms: not readable; allowed: a whole number from 0"},
      {R"({"restrictions":[{"backend":"b","service":"s","domain":"d","reason":"busy","remaining_ms":18446744073709551615}]})",
       "restrictions[0].remaining_ms: not readable; allowed: a whole number from 0"},
      {R"({"restrictions":[{"backend":"b","service":"s","domain":"d","reason":"limited","share_per_second":"x"}]})",
       "restrictions[0].share_per_second: not readable; allowed: a number from 0"},
  };
  for (const auto& row : cases) {
    const auto parsed = parse_restrictions(row.body);
    ASSERT_FALSE(parsed) << row.body;
    EXPECT_EQ(parsed.last_error().describe(), row.expected) << row.body;
  }
}

TEST(server_report, a_reason_of_a_newer_node_is_shown_as_it_is) {
  EXPECT_EQ(format_text(combine({answer(
                "n1", R"({"backend":"b","service":"s","domain":"d","reason":"asleep","remaining_ms":5})")})),
            "b  s  d  asleep  at 1 of 1 nodes  for 5 ms\n");
}

}  // namespace
}  // namespace zinnia
