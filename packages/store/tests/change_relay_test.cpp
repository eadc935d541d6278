// Relay of store changes to peers: a peer misses no change, whatever it knows already.
#include <gtest/gtest.h>

#include <random>

#include "zinnia/store/change_relay_buffer.hpp"
#include "zinnia/store/change_relay_codec.hpp"
#include "zinnia/store/store_era.hpp"

using namespace zinnia;

namespace {

[[nodiscard]] object_change update(const std::string& name, std::int64_t version) {
  return {{name, object_version{version}, "{}", false}, false};
}

[[nodiscard]] object_change removal(const std::string& name, std::int64_t version) {
  return {{name, object_version{version}, "", false}, true};
}

[[nodiscard]] std::vector<std::string> change_names(const feed_reply& reply) {
  std::vector<std::string> result_names;
  for (const auto& change : reply.changes) {
    result_names.push_back((change.deleted ? "-" : "+") + change.object.name);
  }
  return result_names;
}

constexpr time_point now{1000};

TEST(change_log, returns_changes_after_a_version) {
  change_log log;
  EXPECT_EQ(log.changes_since(object_version{0}).status, feed_status::history_gone) << "nothing is known yet";
  log.record_changes({update("a", 3)}, object_version{10}, now);
  log.record_changes({update("b", 12), removal("a", 14)}, object_version{15}, now);
  log.record_changes({}, object_version{20}, now);
  EXPECT_EQ(log.changes_since(object_version{9}).status, feed_status::history_gone)
      << "the peer may lack changes from before the list";
  EXPECT_EQ(change_names(log.changes_since(object_version{10})), (std::vector<std::string>{"+b", "-a"}));
  EXPECT_EQ(change_names(log.changes_since(object_version{13})), (std::vector<std::string>{"+b", "-a"}))
      << "the changes of one response are relayed together";
  EXPECT_TRUE(log.changes_since(object_version{15}).changes.empty());
  EXPECT_EQ(log.changes_since(object_version{15}).store_version, object_version{20});
  EXPECT_EQ(log.latest_change_version(), object_version{14});
}

TEST(change_log, removes_old_changes_and_reports_history_gone) {
  change_log log;
  log.record_changes({}, object_version{10}, now);
  log.record_changes({update("a", 11)}, object_version{11}, now);
  log.record_changes({update("b", 12)}, object_version{12}, now + duration{40'000});
  EXPECT_EQ(log.changes_since(object_version{10}).status, feed_status::history_gone);
  EXPECT_EQ(change_names(log.changes_since(object_version{11})), (std::vector<std::string>{"+b"}));
  for (int i = 0; i < 5000; ++i) {
    log.record_changes({update("c", 13 + i)}, object_version{13 + i}, now + duration{40'000});
  }
  EXPECT_EQ(log.changes_since(object_version{12}).status, feed_status::history_gone);
  EXPECT_LE(log.changes_since(object_version{4000}).changes.size(), 2000U);
}

TEST(change_log, relays_an_object_of_a_later_page_that_is_newer_than_its_list) {
  change_log log;
  log.record_changes({update("a", 12)}, object_version{10}, now);
  EXPECT_EQ(log.changes_since(object_version{10}).status, feed_status::history_gone)
      << "the peer may lack the change of version 12";
  EXPECT_EQ(log.changes_since(object_version{12}).status, feed_status::ok);
  log.record_changes({update("b", 22)}, object_version{20}, now);
  log.record_changes({}, object_version{30}, now);
  EXPECT_EQ(change_names(log.changes_since(object_version{20})), (std::vector<std::string>{"+b"}));
}

TEST(change_log, peer_that_knew_more_of_the_last_era_is_not_told_what_the_copy_lacks) {
  change_log log;
  log.record_changes({}, make_version(1, 10), now);
  log.record_changes({update("a", make_version(2, 5).count())}, make_version(2, 8), now);
  EXPECT_EQ(change_names(log.changes_since(make_version(1, 10))), (std::vector<std::string>{"+a"}));
  EXPECT_EQ(log.changes_since(make_version(1, 11)).status, feed_status::history_gone);
  EXPECT_EQ(log.changes_since(make_version(2, 7)).status, feed_status::history_gone);
  EXPECT_EQ(log.changes_since(make_version(2, 8)).status, feed_status::ok);
}

TEST(change_relay, reply_to_a_peer_that_has_read_from_the_store_since_is_rejected) {
  std::vector<feed_reply> replies(2);
  replies[0].status = feed_status::ok;
  replies[1].status = feed_status::ok;
  reject_late_replies(replies, {object_version{5}, object_version{5}},
                      {object_version{5}, object_version{6}});
  EXPECT_EQ(replies[0].status, feed_status::ok);
  EXPECT_EQ(replies[1].status, feed_status::failed);
}

/// A source feed watches the store. A second feed follows the source, and sometimes calls the store itself.
TEST(change_log, following_feed_converges_to_store) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random{seed};
    std::map<std::string, std::int64_t> store_objects;
    std::vector<object_change> history;
    std::int64_t revision = 1;
    object_feed source{feed_timing{}, 1};
    object_feed follower{feed_timing{}, 2};
    change_log log;
    time_point clock{1000};
    const auto call_store = [&](object_feed& feed) {
      const auto call = feed.next_call(clock);
      if (!call) {
        return;
      }
      feed_reply reply;
      reply.status = feed_status::ok;
      reply.store_version = object_version{revision};
      if (call->call_type == feed_call::type::list) {
        for (const auto& [name, version] : store_objects) {
          reply.items.push_back({name, object_version{version}, "{}", false});
        }
      } else {
        for (const auto& change : history) {
          if (change.object.version > call->since_version) {
            reply.changes.push_back(change);
          }
        }
      }
      feed.on_reply(reply, clock);
    };
    const auto relay_changes = [&] {
      return follower.apply_relayed_changes(log.changes_since(follower.synced_version()));
    };
    call_store(source);
    log.record_changes(source.take_changes(), source.synced_version(), clock);
    call_store(follower);
    for (int step = 0; step < 400; ++step) {
      clock = clock + duration{2000};
      const auto name = std::string(1, static_cast<char>('a' + random() % 5));
      switch (random() % 5) {
        case 0:
          store_objects[name] = ++revision;
          history.push_back(update(name, revision));
          break;
        case 1:
          if (store_objects.erase(name) > 0) {
            history.push_back(removal(name, ++revision));
          }
          break;
        case 2:
          call_store(source);
          log.record_changes(source.take_changes(), source.synced_version(), clock);
          break;
        case 3:
          static_cast<void>(relay_changes());
          break;
        default:
          if (random() % 10 == 0) {
            call_store(follower);
          }
      }
    }
    clock = clock + duration{5000};
    call_store(source);
    log.record_changes(source.take_changes(), source.synced_version(), clock);
    if (!relay_changes()) {
      call_store(follower);
    }
    std::map<std::string, std::int64_t> followed;
    for (const auto& [name, object] : follower.objects()) {
      followed[name] = object.version.count();
    }
    EXPECT_EQ(followed, store_objects) << "seed " << seed;
  }
}

TEST(change_relay_buffer, returns_changes_only_for_same_number_of_kinds) {
  change_relay_buffer buffer{2};
  buffer.record_changes(0, {}, object_version{5}, now);
  EXPECT_FALSE(buffer.changes_since({object_version{5}}));
  const auto replies = buffer.changes_since({object_version{5}, object_version{5}});
  ASSERT_TRUE(replies);
  EXPECT_EQ(replies->at(0).status, feed_status::ok);
  EXPECT_EQ(replies->at(1).status, feed_status::history_gone);
}

TEST(change_relay_codec, round_trips_and_tolerates_damaged_bytes) {
  feed_reply kind;
  kind.status = feed_status::ok;
  kind.store_version = object_version{77};
  kind.changes = {update("a", 70), removal("b", 71)};
  kind.changes.front().object.document = "\xff{}";
  feed_reply gone_kind;
  gone_kind.status = feed_status::history_gone;
  const auto bytes = encode_relayed_changes({kind, gone_kind});
  const auto decoded = decode_relayed_changes(bytes);
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded->size(), 2U);
  EXPECT_EQ(change_names(decoded->at(0)), change_names(kind));
  EXPECT_EQ(decoded->at(0).changes.at(0).object.document, "\xff{}");
  EXPECT_EQ(decoded->at(0).store_version, object_version{77});
  EXPECT_EQ(decoded->at(1).status, feed_status::history_gone);
  std::mt19937 random{1};
  for (int i = 0; i < 20'000; ++i) {
    auto damaged = bytes.substr(0, random() % (bytes.size() + 1));
    for (auto flips = random() % 4; flips > 0 && !damaged.empty(); --flips) {
      damaged[random() % damaged.size()] = static_cast<char>(random());
    }
    static_cast<void>(decode_relayed_changes(damaged));
  }
}

TEST(change_relay_codec, round_trips_versions_and_rejects_other_text) {
  const std::vector<object_version> versions{object_version{3}, object_version{0}, object_version{12}};
  EXPECT_EQ(decode_versions(encode_versions(versions)), versions);
  for (const auto* const text : {"", ",", "1,", ",1", "1,,2", "-1", "x", "1;2", "99999999999999999999"}) {
    EXPECT_FALSE(decode_versions(text)) << text;
  }
}

}  // namespace
