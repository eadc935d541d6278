// JSON objects, recent records and metrics.
#include <gtest/gtest.h>

#include "zinnia/observe/json_object.hpp"
#include "zinnia/observe/metrics.hpp"
#include "zinnia/observe/recent_records.hpp"

using namespace zinnia;

namespace {

TEST(json_object, escapes_values_and_merges_objects_on_one_line) {
  json_object object;
  EXPECT_EQ(object.str(), "{}");
  object.field("text", "a \"quoted\" \\ value\nand a line").field("number", std::int64_t{-7});
  EXPECT_EQ(object.str(), R"({"text":"a \"quoted\" \\ value and a line","number":-7})");
  json_object other;
  other.merge("{}").merge(object.str()).field("last", std::int64_t{1});
  EXPECT_EQ(other.str(), R"({"text":"a \"quoted\" \\ value and a line","number":-7,"last":1})");
}

TEST(recent_records, removes_the_oldest_record_when_full) {
  recent_records records{2};
  records.add("a", "1");
  records.add("b", "2");
  records.add("a", "3");
  EXPECT_EQ(records.find("a"), "3");
  records.add("c", "4");
  EXPECT_FALSE(records.find("a"));
  EXPECT_EQ(records.find("b"), "2");
  EXPECT_EQ(records.size(), 2U);
  recent_records none{0};
  none.add("a", "1");
  EXPECT_FALSE(none.find("a"));
}

TEST(recent_records, keeps_fewer_records_if_they_are_large) {
  constexpr std::size_t max_records = 10;
  recent_records records{max_records};
  for (int i = 0; i < 100; ++i) {
    records.add(std::string(15'000, 'i') + std::to_string(i), std::string(15'000, 'r'));
    EXPECT_LE(records.size_in_bytes(), max_records * recent_records::bytes_per_record);
  }
  EXPECT_EQ(records.size(), 0U) << "45,000 bytes exceed the room of all ten";
  for (int i = 0; i < 100; ++i) {
    records.add(std::to_string(i), "short");
  }
  EXPECT_EQ(records.size(), max_records);
  EXPECT_EQ(records.find("99"), "short");
}

TEST(metrics, escapes_label_values_that_come_from_outside) {
  EXPECT_EQ(label("backend", "b-1"), R"(backend="b-1")");
  EXPECT_EQ(label("backend", "a\"b\\c\nd"), R"(backend="a\"b\\c\nd")");
}

/// With six digits a count of over a million would stand still and jump.
TEST(metrics, prints_large_counts_whole) {
  constexpr int count = 1'234'567;
  metrics counts;
  for (int i = 0; i < count; ++i) {
    counts.record(timing::request, duration{1000});
  }
  const auto text = counts.render({});
  EXPECT_NE(text.find("zinnia_request_ms_count 1234567\n"), std::string::npos);
  EXPECT_NE(text.find("zinnia_request_ms_bucket{le=\"+Inf\"} 1234567\n"), std::string::npos);
  EXPECT_NE(text.find("zinnia_request_ms_sum 1234567000\n"), std::string::npos);
}

TEST(metrics, renders_refusals_and_retries_by_reason_and_times_as_histograms) {
  metrics counts;
  counts.record_refusal(reason::wait_exceeds_deadline);
  counts.record_retry(reason::backend_shed);
  counts.record(timing::request, duration{70});
  const auto text = counts.render({{"zinnia_gauge", "", 5}});
  EXPECT_NE(text.find("zinnia_refusals_total{reason=\"wait-exceeds-deadline\"} 1"), std::string::npos);
  EXPECT_NE(text.find("zinnia_retries_total{reason=\"backend-shed\"} 1"), std::string::npos);
  EXPECT_NE(text.find("zinnia_request_ms_count 1"), std::string::npos);
  EXPECT_NE(text.find("zinnia_gauge 5"), std::string::npos);
}

}  // namespace
