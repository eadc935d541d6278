// Every verdict and reason has a word of its own that reads back to it.
#include <gtest/gtest.h>

#include <set>

#include "zinnia/core/reason.hpp"
#include "zinnia/core/verdict.hpp"

namespace zinnia {
namespace {

TEST(words, every_reason_reads_back) {
  std::set<std::string_view> seen;
  for (std::size_t i = 0; i < reason_count; ++i) {
    const auto value = static_cast<reason>(i);
    EXPECT_TRUE(seen.insert(to_string(value)).second) << to_string(value);
    EXPECT_EQ(parse_reason(to_string(value)), value);
  }
  EXPECT_FALSE(parse_reason("no-such-reason").has_value());
}

TEST(words, combined_verdict_is_the_worse_one) {
  EXPECT_EQ(combine(verdict::did_not_run, verdict::did_not_run), verdict::did_not_run);
  EXPECT_EQ(combine(verdict::did_not_run, verdict::may_have_run), verdict::may_have_run);
  EXPECT_EQ(combine(verdict::ran, verdict::may_have_run), verdict::ran);
}

}  // namespace
}  // namespace zinnia
