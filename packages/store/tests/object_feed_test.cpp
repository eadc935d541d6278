// The feed's transitions by tables: lists in pages, watches, lost history, late and stale answers, pauses.
#include <gtest/gtest.h>

#include "zinnia/store/object_feed.hpp"

using namespace zinnia;

namespace {

[[nodiscard]] stored_object object(const std::string& name, std::int64_t version) {
  return {name, object_version{version}, "{}", false};
}

class feed : public testing::Test {
 protected:
  [[nodiscard]] feed_call ask() {
    const auto call = this->tested.next_call(this->now);
    EXPECT_TRUE(call);
    return call.value_or(feed_call{});
  }
  void list(std::vector<stored_object> items, std::int64_t newest, bool has_more = false) {
    feed_reply reply;
    reply.status = feed_status::ok;
    reply.items = std::move(items);
    reply.store_version = object_version{newest};
    reply.has_more = has_more;
    this->tested.on_reply(reply, this->now);
  }
  void watch(std::vector<object_change> changes, std::int64_t newest) {
    feed_reply reply;
    reply.status = feed_status::ok;
    reply.changes = std::move(changes);
    reply.store_version = object_version{newest};
    this->tested.on_reply(reply, this->now);
  }
  void answer(feed_status status) {
    feed_reply reply;
    reply.status = status;
    this->tested.on_reply(reply, this->now);
  }
  void list_once(std::vector<stored_object> items, std::int64_t newest) {
    static_cast<void>(this->ask());
    this->list(std::move(items), newest);
  }

  time_point now{1000};
  object_feed tested{feed_timing{}, 7};
};

TEST_F(feed, lists_in_pages_and_then_watches) {
  EXPECT_EQ(this->ask().call_type, feed_call::type::list);
  EXPECT_FALSE(this->tested.next_call(this->now)) << "one call at a time";
  this->list({object("a", 3), object("b", 4)}, 10, true);
  EXPECT_FALSE(this->tested.is_complete());
  EXPECT_EQ(this->ask().after_name, "b");
  this->list({object("c", 12)}, 12);
  EXPECT_TRUE(this->tested.is_complete());
  const auto next = this->ask();
  EXPECT_EQ(next.call_type, feed_call::type::watch);
  EXPECT_EQ(next.since_version, object_version{10})
      << "changes made while the pages were read are not missed";
  EXPECT_EQ(this->tested.objects().size(), 3U);
}

TEST_F(feed, applies_changes_once_and_never_backwards) {
  this->list_once({object("a", 5)}, 5);
  static_cast<void>(this->tested.take_changes());
  static_cast<void>(this->ask());
  this->watch({{object("a", 7), false}, {object("a", 6), false}, {object("a", 7), false}}, 8);
  EXPECT_EQ(this->tested.take_changes().size(), 1U);
  EXPECT_EQ(this->tested.objects().at("a").version, object_version{7});
  EXPECT_EQ(this->ask().since_version, object_version{8});
  this->watch({{object("a", 7), true}}, 9);
  EXPECT_TRUE(this->tested.objects().empty());
}

TEST_F(feed, a_deletion_older_than_the_object_is_ignored) {
  this->list_once({object("a", 5)}, 5);
  static_cast<void>(this->ask());
  this->watch({{object("a", 9), false}, {object("a", 5), true}}, 9);
  EXPECT_TRUE(this->tested.objects().contains("a"));
}

TEST_F(feed, a_lost_history_ends_in_a_list_that_drops_what_is_missing) {
  this->list_once({object("a", 1), object("b", 2)}, 2);
  static_cast<void>(this->ask());
  this->answer(feed_status::history_gone);
  EXPECT_EQ(this->ask().call_type, feed_call::type::list);
  EXPECT_EQ(this->tested.objects().size(), 2U) << "the last known state holds meanwhile";
  static_cast<void>(this->tested.take_changes());
  this->list({object("b", 8)}, 9);
  EXPECT_EQ(this->tested.objects().size(), 1U);
  const auto changes = this->tested.take_changes();
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_TRUE(changes[1].deleted);
  EXPECT_EQ(changes[1].object.name, "a");
}

TEST_F(feed, a_stale_list_takes_nothing_back) {
  this->list_once({object("a", 1)}, 1);
  static_cast<void>(this->ask());
  this->watch({{object("a", 20), false}, {object("b", 21), false}}, 21);
  static_cast<void>(this->ask());
  this->answer(feed_status::history_gone);
  static_cast<void>(this->ask());
  this->list({object("a", 1)}, 5);
  EXPECT_EQ(this->tested.objects().at("a").version, object_version{20});
  EXPECT_TRUE(this->tested.objects().contains("b"));
  this->now = this->tested.next_call_at();
  EXPECT_EQ(this->ask().call_type, feed_call::type::list) << "it is asked for again";
  this->list({object("a", 20), object("b", 21)}, 22);
  EXPECT_EQ(this->ask().since_version, object_version{22});
}

TEST_F(feed, failures_pause_longer_each_time_and_keep_the_place) {
  this->list_once({object("a", 5)}, 5);
  std::int64_t last = 0;
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(this->ask().since_version, object_version{5});
    this->answer(feed_status::failed);
    EXPECT_TRUE(this->tested.is_failing());
    EXPECT_FALSE(this->tested.next_call(this->now));
    const auto pause = this->tested.next_call_at() - this->now;
    EXPECT_GE(pause.ms, 70);
    EXPECT_LE(pause.ms, 1600 * 130 / 100);
    EXPECT_GE(pause.ms, last / 2);
    last = pause.ms;
    this->now = this->tested.next_call_at();
  }
  static_cast<void>(this->ask());
  this->watch({}, 6);
  EXPECT_FALSE(this->tested.is_failing());
  EXPECT_TRUE(this->tested.next_call(this->now + feed_timing{}.initial_backoff))
      << "back to the shortest pause";
}

TEST_F(feed, a_watch_that_returns_early_for_nothing_is_not_repeated_at_once) {
  this->list_once({object("a", 5)}, 5);
  static_cast<void>(this->ask());
  this->now = this->now + duration{3};
  this->watch({}, 5);
  EXPECT_FALSE(this->tested.next_call(this->now));
  this->now = this->now + duration{200};
  static_cast<void>(this->ask());
  this->now = this->now + duration{20'000};
  this->watch({}, 5);
  EXPECT_TRUE(this->tested.next_call(this->now)) << "it waited as long as it should";
}

TEST_F(feed, settles_after_a_change_and_restarts_when_told) {
  object_feed settling{feed_timing{duration{1000}, duration{100}, duration{1600}, duration{200}}, 1};
  static_cast<void>(settling.next_call(this->now));
  feed_reply reply;
  reply.status = feed_status::ok;
  settling.on_reply(reply, this->now);
  static_cast<void>(settling.next_call(this->now));
  EXPECT_FALSE(settling.next_call(this->now));
  settling.abandon_call();
  EXPECT_TRUE(settling.next_call(this->now));
  reply.changes = {{object("a", 3), false}};
  settling.on_reply(reply, this->now);
  EXPECT_FALSE(settling.next_call(this->now));
  EXPECT_TRUE(settling.next_call(this->now + duration{200}));
}

}  // namespace
