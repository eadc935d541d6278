// Names of reasons, and the combination of verdicts.
#include <gtest/gtest.h>

#include <set>

#include "zinnia/core/reason.hpp"
#include "zinnia/core/verdict.hpp"

namespace zinnia {
namespace {

TEST(enum_names, every_reason_has_a_unique_name_that_parses_back) {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < reason_count; ++i) {
    const auto value = static_cast<reason>(i);
    EXPECT_TRUE(names.insert(to_string(value)).second) << to_string(value);
    EXPECT_EQ(parse_reason(to_string(value)), value);
  }
  EXPECT_FALSE(parse_reason("no-such-reason").has_value());
}

TEST(verdict, combine_returns_the_verdict_closer_to_ran) {
  EXPECT_EQ(combine(verdict::did_not_run, verdict::did_not_run), verdict::did_not_run);
  EXPECT_EQ(combine(verdict::did_not_run, verdict::may_have_run), verdict::may_have_run);
  EXPECT_EQ(combine(verdict::ran, verdict::may_have_run), verdict::ran);
}

}  // namespace
}  // namespace zinnia
