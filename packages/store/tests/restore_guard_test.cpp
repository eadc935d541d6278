// What is held back after a restore, and for how long.
#include "zinnia/store/restore_guard.hpp"

#include <gtest/gtest.h>

#include "zinnia/store/store_era.hpp"

using namespace zinnia;

namespace {

constexpr duration hold_time{5'000};

TEST(restore_guard, tells_the_copy_from_what_was_written_since) {
  restore_guard guard;
  EXPECT_FALSE(guard.on_store_version(make_version(1, 50), hold_time, time_point{1'000}));
  EXPECT_FALSE(guard.is_from_copy(make_version(1, 40), time_point{1'000}));
  EXPECT_TRUE(guard.on_store_version(make_version(2, 30), hold_time, time_point{2'000}));
  EXPECT_FALSE(guard.on_store_version(make_version(2, 35), hold_time, time_point{2'500}));
  EXPECT_FALSE(guard.on_store_version(make_version(1, 60), hold_time, time_point{2'600})) << "a late answer";
  EXPECT_TRUE(guard.is_from_copy(make_version(2, 30), time_point{3'000}));
  EXPECT_FALSE(guard.is_from_copy(make_version(2, 31), time_point{3'000}));
  EXPECT_FALSE(guard.is_from_copy(make_version(2, 30), time_point{7'000}));
}

TEST(restore_guard, returns_held_changes_once_after_the_hold_time) {
  restore_guard guard;
  static_cast<void>(guard.on_store_version(make_version(1, 50), hold_time, time_point{1'000}));
  static_cast<void>(guard.on_store_version(make_version(2, 30), hold_time, time_point{2'000}));
  EXPECT_EQ(guard.next_due(), far_future);
  guard.hold("a");
  guard.hold("b");
  guard.release("b");
  EXPECT_EQ(guard.next_due(), time_point{7'000});
  EXPECT_TRUE(guard.take_due(time_point{6'999}).empty());
  EXPECT_EQ(guard.take_due(time_point{7'000}), std::set<std::string>{"a"});
  EXPECT_TRUE(guard.take_due(time_point{7'000}).empty());
}

TEST(object_feed, begins_a_list_again_whose_next_page_is_of_another_era) {
  object_feed feed{feed_timing{}, 1};
  time_point now{1'000};
  ASSERT_TRUE(feed.next_call(now)->after_name.empty());
  feed_reply page;
  page.status = feed_status::ok;
  page.items = {{"a", make_version(1, 5), "", false}};
  page.has_more = true;
  page.store_version = make_version(1, 9);
  feed.on_reply(page, now);
  ASSERT_EQ(feed.next_call(now)->after_name, "a");
  page.items = {{"b", make_version(2, 4), "", false}};
  page.has_more = false;
  page.store_version = make_version(2, 7);
  feed.on_reply(page, now);
  const auto next = feed.next_call(now);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->call_type, feed_call::type::list);
  EXPECT_TRUE(next->after_name.empty());
  EXPECT_FALSE(feed.is_complete());
}

}  // namespace
