// What backend servers say about themselves, well formed and not.
#include "statement_decoding.hpp"

#include <gtest/gtest.h>

#include <vector>

using namespace zinnia;

namespace {

[[nodiscard]] backend_statement decode(const header_fields& fields, int status = 200) {
  header_field_names field_names;
  field_names.backend_load = "Load";
  field_names.backend_rate_limit = "Limit";
  field_names.backend_leaving = "Leaving";
  response_head head;
  head.status = status;
  head.fields = fields;
  return decode_statement(head, field_names, backend_id{"a"});
}

TEST(statement_decoding, a_response_without_statements_states_nothing) {
  const auto statement = decode({});
  EXPECT_FALSE(statement.load);
  EXPECT_FALSE(statement.rate_limit);
  EXPECT_TRUE(statement.names_no_rate_limit);
  EXPECT_FALSE(statement.is_leaving);
}

TEST(statement_decoding, reads_load_and_rate_limit) {
  const auto statement = decode({{"Load", "3,1,4"}, {"limit", "5.4"}});
  ASSERT_TRUE(statement.load);
  EXPECT_EQ(statement.load->running, 3);
  EXPECT_EQ(statement.load->waiting, 1);
  EXPECT_EQ(statement.load->slots, 4);
  EXPECT_EQ(statement.rate_limit, 5.4);
  EXPECT_EQ(decode({{"Limit", "0"}}).rate_limit, 0.0);
  EXPECT_EQ(decode({{"Limit", "12"}}).rate_limit, 12.0);
}

/// A server of another build that states more or fewer figures must not look as if it stated no load.
TEST(statement_decoding, a_load_with_more_or_fewer_figures_keeps_the_known_ones) {
  struct row {
    const char* text;
    int running;
    int waiting;
    int slots;
    std::optional<double> work_percent;
  };
  const std::vector<row> table{
      {"3,1,4,150", 3, 1, 4, 150.0},
      {"3,1,4,150,9,x", 3, 1, 4, 150.0},
      {"3,1,4", 3, 1, 4, {}},
      {"3,1", 3, 1, 0, {}},
      {"3", 3, 0, 0, {}},
      {"3,1,4,1", 3, 1, 4, 1.0},
      {"3,1,4,10000", 3, 1, 4, 10000.0},
      {"3,1,4,0.9", 3, 1, 4, {}},
      {"3,1,4,10001", 3, 1, 4, {}},
      {"3,1,4,-5", 3, 1, 4, {}},
      {"3,1,4,nan", 3, 1, 4, {}},
      {"3,1,4,", 3, 1, 4, {}},
  };
  for (const auto& row : table) {
    const auto load = decode({{"Load", row.text}}).load;
    ASSERT_TRUE(load) << row.text;
    EXPECT_EQ(load->running, row.running) << row.text;
    EXPECT_EQ(load->waiting, row.waiting) << row.text;
    EXPECT_EQ(load->slots, row.slots) << row.text;
    EXPECT_EQ(load->work_percent, row.work_percent) << row.text;
  }
  for (const char* const text : {"", "x", "3,x,4", "3,1,", "3,1,4.5,100", ",,,100", "3;1;4"}) {
    EXPECT_FALSE(decode({{"Load", text}}).load) << text;
  }
}

TEST(statement_decoding, an_unreadable_rate_limit_is_no_limit_and_no_end_of_one) {
  for (const char* const text : {"", "many", "-1", "nan", "inf", "1e300", "3 a second", "1,5"}) {
    const auto statement = decode({{"Limit", text}});
    EXPECT_FALSE(statement.rate_limit) << text;
    EXPECT_FALSE(statement.names_no_rate_limit) << text;
  }
}

TEST(statement_decoding, a_server_is_leaving_if_it_says_so) {
  EXPECT_TRUE(decode({{"Leaving", "1"}}).is_leaving);
  EXPECT_TRUE(decode({{"leaving", "true"}}).is_leaving);
  EXPECT_FALSE(decode({{"Leaving", "0"}}).is_leaving);
}

TEST(statement_decoding, a_refusal_says_for_how_long_the_server_is_busy) {
  const auto busy_for = [](const char* text) { return decode({{"Retry-After", text}}, 503).busy_for; };
  EXPECT_EQ(busy_for("5"), duration{5000});
  EXPECT_EQ(busy_for("0.25"), duration{250});
  EXPECT_EQ(busy_for("0"), duration{0});
  EXPECT_EQ(busy_for("86400"), duration{60'000}) << "cut to the largest time";
  for (const char* const text : {"", "-1", "nan", "inf", "soon", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    EXPECT_FALSE(busy_for(text)) << text;
  }
  EXPECT_FALSE(decode({{"Retry-After", "5"}}, 200).busy_for);
  EXPECT_FALSE(decode({}, 503).busy_for);
}

}  // namespace
