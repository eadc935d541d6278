// Three nodes keep copies of a store that is restored from copies, and relay changes to each other. All
// sequences of a few steps, and random long ones: calls are lost, held and late, nodes are killed and follow
// each other.
#include <gtest/gtest.h>

#include <array>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <utility>

#include "zinnia/store/change_log.hpp"
#include "zinnia/store/store_era.hpp"

using namespace zinnia;

namespace {

using object_versions = std::map<std::string, object_version>;

/// One kind of object. Every response is what the store holds at that moment.
class model_store {
 public:
  void put(const std::string& name) {
    const auto version = this->next_version();
    this->objects[name] = version;
    this->history.push_back({{name, version, "", false}, false, version});
  }
  void erase(const std::string& name) {
    const auto found = this->objects.find(name);
    if (found != this->objects.end()) {
      this->history.push_back({{name, found->second, "", false}, true, this->next_version()});
      this->objects.erase(found);
    }
  }
  void take_copy() {
    this->copied_objects = this->objects;
    this->copied_revision = this->revision;
  }
  /// Gives out again the revisions that the copy lacks.
  void restore() {
    ++this->era;
    this->revision = this->copied_revision;
    this->objects.clear();
    for (const auto& [name, version] : this->copied_objects) {
      this->objects[name] = make_version(this->era, revision_of(version));
    }
    this->forget_history();
  }
  void forget_history() {
    this->history.clear();
    this->oldest_watchable = this->version();
  }
  [[nodiscard]] feed_reply respond(const feed_call& call) const {
    feed_reply reply;
    reply.status = feed_status::ok;
    reply.store_version = this->version();
    if (call.call_type == feed_call::type::list) {
      constexpr std::size_t page_size = 2;
      for (const auto& [name, version] : this->objects) {
        if (name > call.after_name && reply.items.size() < page_size) {
          reply.items.push_back({name, version, "", false});
        } else if (name > call.after_name) {
          reply.has_more = true;
        }
      }
    } else if (call.since_version < this->oldest_watchable) {
      reply.status = feed_status::history_gone;
    } else {
      for (const auto& change : this->history) {
        if (change.at > call.since_version) {
          reply.changes.push_back({change.object, change.deleted});
        }
      }
    }
    return reply;
  }
  [[nodiscard]] object_version version() const { return make_version(this->era, this->revision); }

  object_versions objects;

 private:
  [[nodiscard]] object_version next_version() {
    ++this->revision;
    return this->version();
  }

  std::int64_t era{1};
  std::int64_t revision{1};
  /// A removed object has the version of its last change, as in the platform's events.
  struct history_entry {
    stored_object object;
    bool deleted;
    object_version at;
  };

  std::vector<history_entry> history;
  object_version oldest_watchable;
  object_versions copied_objects;
  std::int64_t copied_revision{1};
};

/// What one process keeps, and its calls in flight.
struct model_node {
  object_feed feed{feed_timing{}, 1};
  change_log log;
  std::vector<object_change> unrelayed;
  std::optional<feed_call> store_call;
  std::optional<feed_reply> store_reply;
  std::optional<std::size_t> source;
  /// Changes come from the source only.
  bool is_relayed{false};
  /// The version that the call to the source names.
  std::optional<object_version> relay_call;
  std::optional<feed_reply> relay_reply;
  object_version known;
  std::map<std::string, object_version> reported;
};

constexpr std::size_t node_count = 3;

enum class step : unsigned char {
  put_a,
  put_b,
  put_c,
  erase_a,
  erase_b,
  take_copy,
  restore,
  forget_history,
  // Steps of one node.
  call_store,
  respond_to_call,
  deliver_response,
  lose_call,
  follow,
  call_source,
  respond_to_follower,
  deliver_changes,
  lose_changes,
  stop_following,
  kill,
};
/// Walked at random. A source that lost its history within an era may leave its followers with what is gone.
constexpr int random_store_steps = static_cast<int>(step::forget_history);
constexpr int first_node_step = static_cast<int>(step::call_store);
constexpr int last_node_step = static_cast<int>(step::kill);

class world {
 public:
  /// Returns false if nothing can be done with this step now.
  bool apply(step taken, std::size_t index) {
    this->now = this->now + duration{5000};
    auto& node = this->nodes.at(index);
    switch (taken) {
      case step::put_a:
        this->store.put("a");
        return true;
      case step::put_b:
        this->store.put("b");
        return true;
      case step::put_c:
        this->store.put("c");
        return true;
      case step::erase_a:
        this->store.erase("a");
        return true;
      case step::erase_b:
        this->store.erase("b");
        return true;
      case step::take_copy:
        this->store.take_copy();
        return true;
      case step::restore:
        this->store.restore();
        return true;
      case step::forget_history:
        this->store.forget_history();
        return true;
      case step::call_store:
        if (node.is_relayed || node.store_call || node.store_reply) {
          return false;
        }
        node.store_call = node.feed.next_call(this->now);
        return node.store_call.has_value();
      case step::respond_to_call:
        if (!node.store_call) {
          return false;
        }
        node.store_reply = this->store.respond(*std::exchange(node.store_call, std::nullopt));
        return true;
      case step::deliver_response:
        if (!node.store_reply) {
          return false;
        }
        node.feed.on_reply(*std::exchange(node.store_reply, std::nullopt), this->now);
        this->after_changes(index);
        return true;
      case step::lose_call:
        if (!node.store_call && !node.store_reply) {
          return false;
        }
        node.store_call.reset();
        node.store_reply.reset();
        node.feed.on_reply({}, this->now);
        return true;
      default:
        return this->apply_relay_step(taken, index);
    }
  }

  /// Lets all calls succeed, without further changes. Followers keep following.
  void settle() {
    for (int round = 0; round < 12; ++round) {
      for (std::size_t i = 0; i < node_count; ++i) {
        for (const auto taken :
             {step::deliver_response, step::call_store, step::respond_to_call, step::deliver_response,
              step::deliver_changes, step::call_source, step::respond_to_follower, step::deliver_changes}) {
          static_cast<void>(this->apply(taken, i));
        }
      }
    }
    for (const auto& node : this->nodes) {
      object_versions held;
      for (const auto& [name, object] : node.feed.objects()) {
        held[name] = object.version;
      }
      EXPECT_EQ(held, this->store.objects) << "node " << &node - this->nodes.data();
    }
  }

 private:
  bool apply_relay_step(step taken, std::size_t index) {
    auto& node = this->nodes.at(index);
    const auto next = (index + 1) % node_count;
    switch (taken) {
      case step::follow:
        if (node.source || node.feed.is_listing()) {
          return false;
        }
        node.source = next;
        return true;
      case step::call_source:
        if (!node.source || node.relay_call || node.relay_reply) {
          return false;
        }
        node.relay_call = node.feed.synced_version();
        return true;
      case step::respond_to_follower: {
        if (!node.relay_call || node.relay_reply) {
          return false;
        }
        const auto& source = this->nodes.at(*node.source);
        if (source.is_relayed || !source.feed.is_complete()) {
          this->stop_following(node);
          return true;
        }
        node.relay_reply = source.log.changes_since(*node.relay_call);
        return true;
      }
      case step::deliver_changes: {
        if (!node.relay_reply) {
          return false;
        }
        std::vector<feed_reply> replies{*std::exchange(node.relay_reply, std::nullopt)};
        reject_late_replies(replies, {*std::exchange(node.relay_call, std::nullopt)},
                            {node.feed.synced_version()});
        const bool is_relayed = node.feed.apply_relayed_changes(replies.front());
        if (is_relayed && !node.is_relayed) {
          node.store_call.reset();
          node.store_reply.reset();
          node.feed.abandon_call();
        }
        node.is_relayed = is_relayed;
        this->after_changes(index);
        return true;
      }
      case step::lose_changes:
      case step::stop_following:
        if (!node.source) {
          return false;
        }
        this->stop_following(node);
        return true;
      case step::kill:
        node = {};
        // Calls to the node break off.
        for (auto& other : this->nodes) {
          if (other.source == index && other.relay_call && !other.relay_reply) {
            this->stop_following(other);
          }
        }
        return true;
      default:
        return false;
    }
  }

  static void stop_following(model_node& node) {
    node.source.reset();
    node.is_relayed = false;
    node.relay_call.reset();
    node.relay_reply.reset();
  }

  /// Records changes for followers as the control thread does, and checks what a node may never do.
  void after_changes(std::size_t index) {
    auto& node = this->nodes.at(index);
    EXPECT_GE(node.feed.synced_version(), node.known) << "the known version of node " << index << " fell";
    node.known = node.feed.synced_version();
    for (const auto& change : node.feed.take_changes()) {
      auto& reported = node.reported[change.object.name];
      EXPECT_GE(change.object.version, reported)
          << "node " << index << " went back at " << change.object.name;
      EXPECT_GE(era_of(change.object.version), era_of(reported));
      reported = change.object.version;
      node.unrelayed.push_back(change);
    }
    if (!node.feed.is_listing()) {
      node.log.record_changes(std::exchange(node.unrelayed, {}), node.feed.synced_version(), this->now);
    }
  }

  model_store store;
  std::array<model_node, node_count> nodes;
  time_point now{1000};
};

struct walk_step {
  step taken;
  std::size_t node;
};

/// All nodes know objects a and b, and node 0 follows node 1.
[[nodiscard]] world make_start() {
  world start;
  start.apply(step::put_a, 0);
  start.apply(step::put_b, 0);
  start.settle();
  start.apply(step::take_copy, 0);
  start.apply(step::put_c, 0);
  start.apply(step::follow, 0);
  start.settle();
  return start;
}

[[nodiscard]] std::string describe(const std::vector<walk_step>& walk) {
  std::string text;
  for (const auto& each : walk) {
    text += std::to_string(static_cast<int>(each.taken)) + "@" + std::to_string(each.node) + " ";
  }
  return text;
}

class exhaustive_walk {
 public:
  void walk(const world& from, int depth) {
    world settled = from;
    settled.settle();
    ++this->walks;
    if (depth == 0 || testing::Test::HasFailure()) {
      return;
    }
    for (int taken = 0; taken <= last_node_step; ++taken) {
      const std::size_t nodes = taken < first_node_step ? 1 : node_count;
      for (std::size_t node = 0; node < nodes; ++node) {
        this->steps.push_back({static_cast<step>(taken), node});
        SCOPED_TRACE(describe(this->steps));
        world next = from;
        if (next.apply(static_cast<step>(taken), node)) {
          this->walk(next, depth - 1);
        }
        this->steps.pop_back();
        if (testing::Test::HasFailure()) {
          return;
        }
      }
    }
  }
  std::int64_t walks{0};

 private:
  std::vector<walk_step> steps;
};

TEST(change_relay_eras, all_short_sequences_end_with_what_the_store_holds) {
  constexpr int depth = 4;
  exhaustive_walk all;
  all.walk(make_start(), depth);
  std::cout << "sequences walked: " << all.walks << '\n';
}

/// Calls mostly go on; losses and kills are rare.
[[nodiscard]] walk_step random_step(std::mt19937_64& random, const world& walked) {
  constexpr std::array<step, 4> store_call{step::deliver_response, step::respond_to_call, step::call_store,
                                           step::lose_call};
  constexpr std::array<step, 4> relay_call{step::deliver_changes, step::respond_to_follower,
                                           step::call_source, step::follow};
  constexpr std::array<step, 3> faults{step::lose_call, step::stop_following, step::kill};
  const std::size_t node = random() % node_count;
  const auto kind = random() % 16;
  if (kind < 4) {
    return {static_cast<step>(random() % random_store_steps), node};
  }
  if (kind == 4) {
    return {faults.at(random() % faults.size()), node};
  }
  for (const auto taken : kind < 11 ? store_call : relay_call) {
    if (world{walked}.apply(taken, node)) {
      return {taken, node};
    }
  }
  return {step::put_a, node};
}

TEST(change_relay_eras, random_sequences_end_with_what_the_store_holds) {
  constexpr int sequences = 20'000;
  constexpr int length = 60;
  std::int64_t steps = 0;
  for (std::uint64_t seed = 1; seed <= sequences && !HasFailure(); ++seed) {
    std::mt19937_64 random{seed};
    auto walked = make_start();
    std::vector<walk_step> walk;
    for (int i = 0; i < length && !HasFailure(); ++i) {
      const auto next = random_step(random, walked);
      if (walked.apply(next.taken, next.node)) {
        ++steps;
        walk.push_back(next);
      }
    }
    SCOPED_TRACE("seed " + std::to_string(seed) + ": " + describe(walk));
    walked.settle();
  }
  std::cout << "steps walked: " << steps << '\n';
}

}  // namespace
