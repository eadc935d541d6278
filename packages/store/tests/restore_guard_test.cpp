// What is held back after a restore, and for how long.
#include "zinnia/store/restore_guard.hpp"

#include <gtest/gtest.h>

#include "zinnia/store/retained_state.hpp"
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
  const time_point until{7'000};
  guard.hold({{"a", {}, "before", false}, false}, until);
  guard.hold({{"b", {}, "", false}, true}, until);
  EXPECT_EQ(guard.held_changes().at("a").in_force.object.document, "before");
  EXPECT_TRUE(guard.held_changes().at("b").in_force.deleted);
  guard.release("b");
  EXPECT_EQ(guard.next_due(), time_point{7'000});
  EXPECT_TRUE(guard.take_due(time_point{6'999}).empty());
  EXPECT_EQ(guard.take_due(time_point{7'000}), std::set<std::string>{"a"});
  EXPECT_TRUE(guard.take_due(time_point{7'000}).empty());
}

TEST(restore_guard, takes_the_earliest_version_of_the_copy_that_any_node_has_seen) {
  restore_guard guard;
  guard.on_copy_version(make_version(1, 5));
  EXPECT_EQ(guard.copy(), object_version{}) << "nothing is known of the store yet";
  static_cast<void>(guard.on_store_version(make_version(2, 60), hold_time, time_point{1'000}));
  guard.on_copy_version(make_version(1, 5));
  EXPECT_EQ(guard.copy(), object_version{}) << "a copy of an earlier era";
  guard.on_copy_version(make_version(2, 40));
  guard.on_copy_version(make_version(2, 45));
  guard.on_copy_version(object_version{});
  EXPECT_EQ(guard.copy(), make_version(2, 40));
  guard.on_copy_version(make_version(2, 35));
  EXPECT_EQ(guard.copy(), make_version(2, 35));
}

TEST(object_feed, tells_which_object_of_an_earlier_era_is_replaced) {
  object_feed feed{feed_timing{}, 1};
  const time_point now{1'000};
  const auto list = [&](std::int64_t era, const std::string& document) {
    feed.restart_list();
    static_cast<void>(feed.next_call(now));
    feed_reply page;
    page.status = feed_status::ok;
    page.items = {{"a", make_version(era, 5), document, false}};
    page.store_version = make_version(era, 9);
    feed.on_reply(page, now);
    return feed.take_changes();
  };
  EXPECT_FALSE(list(1, "first").front().replaced);
  const auto changes = list(2, "second");
  ASSERT_EQ(changes.size(), 1U);
  ASSERT_TRUE(changes.front().replaced);
  EXPECT_EQ(changes.front().replaced->document, "first");
}

TEST(retained_state, arrives_as_it_was_sent) {
  retained_state state;
  state.store_version = make_version(3, 70);
  state.configuration_number = 9;
  state.configuration = stored_object{"main", make_version(2, 80), "document", false};
  state.copy_versions = {make_version(3, 50), object_version{}};
  state.changes = {{1, {{"a", make_version(2, 60), "before", false}, false}, time_point{5'000}},
                   {2, {{"b", {}, "", false}, true}, time_point{900}}};
  const auto decoded =
      decode_retained_state(encode_retained_state(state, 8, time_point{1'000}), time_point{50'000});
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->store_version, state.store_version);
  EXPECT_EQ(decoded->configuration_number, 9U);
  ASSERT_TRUE(decoded->configuration);
  EXPECT_EQ(decoded->configuration->document, "document");
  EXPECT_EQ(decoded->copy_versions, state.copy_versions);
  ASSERT_EQ(decoded->changes.size(), 2U);
  EXPECT_EQ(decoded->changes[0].until, time_point{54'000});
  EXPECT_EQ(decoded->changes[0].change.object.document, "before");
  EXPECT_TRUE(decoded->changes[1].change.deleted);
  EXPECT_EQ(decoded->changes[1].until, time_point{50'000});
  EXPECT_EQ(digest_of(decoded->changes), digest_of(state.changes));
  EXPECT_NE(digest_of(state.changes), digest_of({state.changes[0]}));
  EXPECT_EQ(digest_of({}), 0U);

  const auto without = decode_retained_state(encode_retained_state(state, 9, time_point{}), time_point{});
  ASSERT_TRUE(without);
  EXPECT_FALSE(without->configuration) << "the other node has it";
  EXPECT_FALSE(decode_retained_state("no state", time_point{}));
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
