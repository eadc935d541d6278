// What a node can tell others: no change is missed, whatever the other knows.
#include <gtest/gtest.h>

#include <random>

#include "zinnia/store/change_relay_buffer.hpp"
#include "zinnia/store/change_relay_codec.hpp"

using namespace zinnia;

namespace {

[[nodiscard]] object_change put(const std::string& name, std::int64_t version) {
  return {{name, object_version{version}, "{}", false}, false};
}

[[nodiscard]] object_change removal(const std::string& name, std::int64_t version) {
  return {{name, object_version{version}, "", false}, true};
}

[[nodiscard]] std::vector<std::string> names(const feed_reply& reply) {
  std::vector<std::string> found;
  for (const auto& change : reply.changes) {
    found.push_back((change.deleted ? "-" : "+") + change.object.name);
  }
  return found;
}

constexpr time_point now{1000};

TEST(change_log, tells_what_came_after_a_version) {
  change_log log;
  EXPECT_EQ(log.changes_since(object_version{0}).status, feed_status::history_gone) << "nothing is known yet";
  log.record_changes({put("a", 3)}, object_version{10}, now);
  log.record_changes({put("b", 12), removal("a", 14)}, object_version{15}, now);
  log.record_changes({}, object_version{20}, now);
  EXPECT_EQ(log.changes_since(object_version{9}).status, feed_status::history_gone)
      << "may lack what came before the list";
  EXPECT_EQ(names(log.changes_since(object_version{10})), (std::vector<std::string>{"+b", "-a"}));
  EXPECT_EQ(names(log.changes_since(object_version{13})), (std::vector<std::string>{"+b", "-a"}))
      << "one answer's changes are told together";
  EXPECT_TRUE(log.changes_since(object_version{15}).changes.empty());
  EXPECT_EQ(log.changes_since(object_version{15}).store_version, object_version{20});
  EXPECT_EQ(log.latest_change_version(), object_version{14});
}

TEST(change_log, forgets_old_changes_and_says_so) {
  change_log log;
  log.record_changes({}, object_version{10}, now);
  log.record_changes({put("a", 11)}, object_version{11}, now);
  log.record_changes({put("b", 12)}, object_version{12}, now + duration{40'000});
  EXPECT_EQ(log.changes_since(object_version{10}).status, feed_status::history_gone);
  EXPECT_EQ(names(log.changes_since(object_version{11})), (std::vector<std::string>{"+b"}));
  for (int i = 0; i < 5000; ++i) {
    log.record_changes({put("c", 13 + i)}, object_version{13 + i}, now + duration{40'000});
  }
  EXPECT_EQ(log.changes_since(object_version{12}).status, feed_status::history_gone);
  EXPECT_LE(log.changes_since(object_version{4000}).changes.size(), 2000U);
}

/// A store, a node that watches it, and one that follows the node, now and then the store itself.
TEST(change_log, a_follower_ends_with_what_the_store_holds) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random{seed};
    std::map<std::string, std::int64_t> held;
    std::vector<object_change> history;
    std::int64_t revision = 1;
    object_feed source{feed_timing{}, 1};
    object_feed follower{feed_timing{}, 2};
    change_log log;
    time_point clock{1000};
    const auto ask_store = [&](object_feed& feed) {
      const auto call = feed.next_call(clock);
      if (!call) {
        return;
      }
      feed_reply reply;
      reply.status = feed_status::ok;
      reply.store_version = object_version{revision};
      if (call->call_type == feed_call::type::list) {
        for (const auto& [name, version] : held) {
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
    const auto follow = [&] {
      return follower.apply_relayed_changes(log.changes_since(follower.synced_version()));
    };
    ask_store(source);
    log.record_changes(source.take_changes(), source.synced_version(), clock);
    ask_store(follower);
    for (int step = 0; step < 400; ++step) {
      clock = clock + duration{2000};
      const auto name = std::string(1, static_cast<char>('a' + random() % 5));
      switch (random() % 5) {
        case 0:
          held[name] = ++revision;
          history.push_back(put(name, revision));
          break;
        case 1:
          if (held.erase(name) > 0) {
            history.push_back(removal(name, ++revision));
          }
          break;
        case 2:
          ask_store(source);
          log.record_changes(source.take_changes(), source.synced_version(), clock);
          break;
        case 3:
          static_cast<void>(follow());
          break;
        default:
          if (random() % 10 == 0) {
            ask_store(follower);
          }
      }
    }
    clock = clock + duration{5000};
    ask_store(source);
    log.record_changes(source.take_changes(), source.synced_version(), clock);
    if (!follow()) {
      ask_store(follower);
    }
    std::map<std::string, std::int64_t> known;
    for (const auto& [name, object] : follower.objects()) {
      known[name] = object.version.count();
    }
    EXPECT_EQ(known, held) << "seed " << seed;
  }
}

TEST(change_relay_buffer, answers_only_for_the_same_kinds) {
  change_relay_buffer board{2};
  board.record_changes(0, {}, object_version{5}, now);
  EXPECT_FALSE(board.changes_since({object_version{5}}));
  const auto replies = board.changes_since({object_version{5}, object_version{5}});
  ASSERT_TRUE(replies);
  EXPECT_EQ(replies->at(0).status, feed_status::ok);
  EXPECT_EQ(replies->at(1).status, feed_status::history_gone);
}

TEST(news_codec, survives_the_wire_and_any_bytes) {
  feed_reply kind;
  kind.status = feed_status::ok;
  kind.store_version = object_version{77};
  kind.changes = {put("a", 70), removal("b", 71)};
  kind.changes.front().object.document = "\xff{}";
  feed_reply gone;
  gone.status = feed_status::history_gone;
  const auto bytes = encode_relayed_changes({kind, gone});
  const auto decoded = decode_relayed_changes(bytes);
  ASSERT_TRUE(decoded);
  ASSERT_EQ(decoded->size(), 2U);
  EXPECT_EQ(names(decoded->at(0)), names(kind));
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

TEST(news_codec, reads_versions_as_it_writes_them) {
  const std::vector<object_version> versions{object_version{3}, object_version{0}, object_version{12}};
  EXPECT_EQ(decode_versions(encode_versions(versions)), versions);
  for (const auto* const text : {"", ",", "1,", ",1", "1,,2", "-1", "x", "1;2", "99999999999999999999"}) {
    EXPECT_FALSE(decode_versions(text)) << text;
  }
}

}  // namespace
