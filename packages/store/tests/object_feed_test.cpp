// State transitions of the object feed: paged lists, watches, lost history, late and stale responses, pauses.
#include <gtest/gtest.h>

#include "zinnia/store/object_feed.hpp"

using namespace zinnia;

namespace {

[[nodiscard]] stored_object object(const std::string& name, std::int64_t version) {
  return {name, object_version{version}, "{}", false};
}

class object_feed_test : public testing::Test {
 protected:
  [[nodiscard]] feed_call request_call() {
    const auto call = this->feed.next_call(this->now);
    EXPECT_TRUE(call);
    return call.value_or(feed_call{});
  }
  void respond_list(std::vector<stored_object> items, std::int64_t store_version, bool has_more = false) {
    feed_reply reply;
    reply.status = feed_status::ok;
    reply.items = std::move(items);
    reply.store_version = object_version{store_version};
    reply.has_more = has_more;
    this->feed.on_reply(reply, this->now);
  }
  void respond_watch(std::vector<object_change> changes, std::int64_t store_version) {
    feed_reply reply;
    reply.status = feed_status::ok;
    reply.changes = std::move(changes);
    reply.store_version = object_version{store_version};
    this->feed.on_reply(reply, this->now);
  }
  void respond(feed_status status) {
    feed_reply reply;
    reply.status = status;
    this->feed.on_reply(reply, this->now);
  }
  void complete_list(std::vector<stored_object> items, std::int64_t store_version) {
    static_cast<void>(this->request_call());
    this->respond_list(std::move(items), store_version);
  }

  time_point now{1000};
  object_feed feed{feed_timing{}, 7};
};

TEST_F(object_feed_test, lists_pages_then_watches) {
  EXPECT_EQ(this->request_call().call_type, feed_call::type::list);
  EXPECT_FALSE(this->feed.next_call(this->now)) << "a call is in flight";
  this->respond_list({object("a", 3), object("b", 4)}, 10, true);
  EXPECT_FALSE(this->feed.is_complete());
  EXPECT_EQ(this->request_call().after_name, "b");
  this->respond_list({object("c", 12)}, 12);
  EXPECT_TRUE(this->feed.is_complete());
  const auto next = this->request_call();
  EXPECT_EQ(next.call_type, feed_call::type::watch);
  EXPECT_EQ(next.since_version, object_version{10})
      << "changes made while the pages were read are not missed";
  EXPECT_EQ(this->feed.objects().size(), 3U);
}

TEST_F(object_feed_test, applies_each_change_once_and_never_an_older_version) {
  this->complete_list({object("a", 5)}, 5);
  static_cast<void>(this->feed.take_changes());
  static_cast<void>(this->request_call());
  this->respond_watch({{object("a", 7), false}, {object("a", 6), false}, {object("a", 7), false}}, 8);
  EXPECT_EQ(this->feed.take_changes().size(), 1U);
  EXPECT_EQ(this->feed.objects().at("a").version, object_version{7});
  EXPECT_EQ(this->request_call().since_version, object_version{8});
  this->respond_watch({{object("a", 7), true}}, 9);
  EXPECT_TRUE(this->feed.objects().empty());
}

TEST_F(object_feed_test, ignores_deletion_older_than_object) {
  this->complete_list({object("a", 5)}, 5);
  static_cast<void>(this->request_call());
  this->respond_watch({{object("a", 9), false}, {object("a", 5), true}}, 9);
  EXPECT_TRUE(this->feed.objects().contains("a"));
}

TEST_F(object_feed_test, relayed_change_that_is_older_does_not_bring_back_a_removed_object) {
  this->complete_list({object("a", 5)}, 5);
  static_cast<void>(this->request_call());
  this->respond_watch({{object("a", 7), false}, {object("a", 7), true}}, 9);
  feed_reply relayed;
  relayed.status = feed_status::ok;
  relayed.changes = {{object("a", 6), false}, {object("b", 10), false}};
  relayed.store_version = object_version{10};
  EXPECT_TRUE(this->feed.apply_relayed_changes(relayed));
  EXPECT_FALSE(this->feed.objects().contains("a"));
  EXPECT_TRUE(this->feed.objects().contains("b"));
}

TEST_F(object_feed_test, takes_no_relayed_changes_while_later_pages_of_its_list_were_newer) {
  static_cast<void>(this->request_call());
  this->respond_list({object("a", 3)}, 10, true);
  static_cast<void>(this->request_call());
  this->respond_list({object("b", 12)}, 12);
  feed_reply relayed;
  relayed.status = feed_status::ok;
  relayed.store_version = object_version{15};
  EXPECT_FALSE(this->feed.apply_relayed_changes(relayed))
      << "b may be gone, as the peer may have listed anew";
  static_cast<void>(this->request_call());
  this->respond_watch({}, 13);
  EXPECT_TRUE(this->feed.apply_relayed_changes(relayed));
}

TEST_F(object_feed_test, lists_again_after_lost_history_and_removes_missing_objects) {
  this->complete_list({object("a", 1), object("b", 2)}, 2);
  static_cast<void>(this->request_call());
  this->respond(feed_status::history_gone);
  EXPECT_EQ(this->request_call().call_type, feed_call::type::list);
  EXPECT_EQ(this->feed.objects().size(), 2U) << "the last known objects stay until the list is complete";
  static_cast<void>(this->feed.take_changes());
  this->respond_list({object("b", 8)}, 9);
  EXPECT_EQ(this->feed.objects().size(), 1U);
  const auto changes = this->feed.take_changes();
  ASSERT_EQ(changes.size(), 2U);
  EXPECT_TRUE(changes[1].deleted);
  EXPECT_EQ(changes[1].object.name, "a");
}

TEST_F(object_feed_test, stale_list_changes_no_object) {
  this->complete_list({object("a", 1)}, 1);
  static_cast<void>(this->request_call());
  this->respond_watch({{object("a", 20), false}, {object("b", 21), false}}, 21);
  static_cast<void>(this->request_call());
  this->respond(feed_status::history_gone);
  static_cast<void>(this->request_call());
  this->respond_list({object("a", 1)}, 5);
  EXPECT_EQ(this->feed.objects().at("a").version, object_version{20});
  EXPECT_TRUE(this->feed.objects().contains("b"));
  this->now = this->feed.next_call_at();
  EXPECT_EQ(this->request_call().call_type, feed_call::type::list) << "the list is requested again";
  this->respond_list({object("a", 20), object("b", 21)}, 22);
  EXPECT_EQ(this->request_call().since_version, object_version{22});
}

TEST_F(object_feed_test, failures_back_off_and_keep_watch_version) {
  this->complete_list({object("a", 5)}, 5);
  std::int64_t last = 0;
  for (int i = 0; i < 8; ++i) {
    EXPECT_EQ(this->request_call().since_version, object_version{5});
    this->respond(feed_status::failed);
    EXPECT_TRUE(this->feed.is_failing());
    EXPECT_FALSE(this->feed.next_call(this->now));
    const auto pause = this->feed.next_call_at() - this->now;
    EXPECT_GE(pause.ms, 70);
    EXPECT_LE(pause.ms, 1600 * 130 / 100);
    EXPECT_GE(pause.ms, last / 2);
    last = pause.ms;
    this->now = this->feed.next_call_at();
  }
  static_cast<void>(this->request_call());
  this->respond_watch({}, 6);
  EXPECT_FALSE(this->feed.is_failing());
  EXPECT_TRUE(this->feed.next_call(this->now + feed_timing{}.initial_backoff))
      << "the pause is back to the initial one";
}

TEST_F(object_feed_test, lists_after_the_longest_pause_if_the_changes_are_too_long_for_one_response) {
  this->complete_list({object("a", 5), object("gone", 4)}, 5);
  static_cast<void>(this->feed.take_changes());
  for (const std::int64_t version : {8, 9}) {
    EXPECT_EQ(this->request_call().call_type, feed_call::type::watch);
    this->respond(feed_status::too_long);
    EXPECT_TRUE(this->feed.is_failing());
    EXPECT_GE((this->feed.next_call_at() - this->now).ms, feed_timing{}.max_backoff.ms * 7 / 10);
    EXPECT_EQ(this->feed.objects().size(), version == 8 ? 2U : 1U)
        << "what is known stays until it is listed";
    this->now = this->feed.next_call_at();
    EXPECT_EQ(this->request_call().call_type, feed_call::type::list);
    this->respond_list({object("a", version)}, version);
    EXPECT_EQ(this->feed.objects().at("a").version, object_version{version});
  }
}

TEST_F(object_feed_test, pauses_after_watch_that_ends_early_without_changes) {
  this->complete_list({object("a", 5)}, 5);
  static_cast<void>(this->request_call());
  this->now = this->now + duration{3};
  this->respond_watch({}, 5);
  EXPECT_FALSE(this->feed.next_call(this->now));
  this->now = this->now + duration{200};
  static_cast<void>(this->request_call());
  this->now = this->now + duration{20'000};
  this->respond_watch({}, 5);
  EXPECT_TRUE(this->feed.next_call(this->now)) << "the watch lasted its full time";
}

TEST_F(object_feed_test, pauses_after_changes_and_repeats_abandoned_call) {
  object_feed batching_feed{feed_timing{duration{1000}, duration{100}, duration{1600}, duration{200}}, 1};
  static_cast<void>(batching_feed.next_call(this->now));
  feed_reply reply;
  reply.status = feed_status::ok;
  batching_feed.on_reply(reply, this->now);
  static_cast<void>(batching_feed.next_call(this->now));
  EXPECT_FALSE(batching_feed.next_call(this->now));
  batching_feed.abandon_call();
  EXPECT_TRUE(batching_feed.next_call(this->now));
  reply.changes = {{object("a", 3), false}};
  batching_feed.on_reply(reply, this->now);
  EXPECT_FALSE(batching_feed.next_call(this->now));
  EXPECT_TRUE(batching_feed.next_call(this->now + duration{200}));
}

// A key can be removed while a response is under way, so a response proves nothing of the time after its
// call.
TEST_F(object_feed_test, is_confirmed_as_of_the_last_successful_call) {
  this->complete_list({object("a", 5)}, 5);
  const auto listed_at = this->now;
  EXPECT_EQ(this->feed.confirmed_at(), listed_at);
  this->now = this->now + duration{100};
  const auto watched_at = this->now;
  static_cast<void>(this->request_call());
  this->now = this->now + duration{900};
  EXPECT_EQ(this->feed.confirmed_at(), listed_at) << "the watch has not been answered";
  this->respond_watch({}, 5);
  EXPECT_EQ(this->feed.confirmed_at(), watched_at);
  this->now = this->now + duration{900};
  static_cast<void>(this->request_call());
  this->respond(feed_status::failed);
  EXPECT_EQ(this->feed.confirmed_at(), watched_at);
  this->now = this->now + duration{2000};
  static_cast<void>(this->request_call());
  this->respond_watch({}, 4);
  EXPECT_EQ(this->feed.confirmed_at(), watched_at) << "the response is older than what is known";
}

// The first page of a list says nothing of the time after it was read.
TEST_F(object_feed_test, is_confirmed_only_by_a_complete_list_and_from_its_first_page_on) {
  EXPECT_FALSE(this->feed.confirmed_at());
  const auto first_page_at = this->now;
  static_cast<void>(this->request_call());
  this->respond_list({object("a", 3)}, 10, true);
  EXPECT_FALSE(this->feed.confirmed_at());
  this->now = this->now + duration{500};
  static_cast<void>(this->request_call());
  this->respond_list({object("c", 12)}, 12);
  EXPECT_EQ(this->feed.confirmed_at(), first_page_at);
  static_cast<void>(this->request_call());
  this->respond(feed_status::history_gone);
  EXPECT_FALSE(this->feed.confirmed_at()) << "changes may have been missed";
  this->now = this->now + duration{500};
  const auto second_list_at = this->now;
  this->complete_list({object("a", 3)}, 14);
  EXPECT_EQ(this->feed.confirmed_at(), second_list_at);
}

// The peer may have known the changes for any length of time.
TEST_F(object_feed_test, is_not_confirmed_by_relayed_changes) {
  this->complete_list({object("a", 5)}, 5);
  const auto listed_at = this->now;
  this->now = this->now + duration{500};
  feed_reply relayed;
  relayed.status = feed_status::ok;
  relayed.store_version = object_version{9};
  EXPECT_TRUE(this->feed.apply_relayed_changes(relayed));
  EXPECT_EQ(this->feed.confirmed_at(), listed_at);
}

}  // namespace
