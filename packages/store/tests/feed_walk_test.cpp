// A random walk of a feed and a store that fails in every way: lost and late answers, lost history, stale
// lists.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "zinnia/store/object_feed.hpp"

using namespace zinnia;

namespace {

/// The store's side: objects, history, and answers that may be wrong in the ways that are allowed.
class model_store {
 public:
  explicit model_store(std::mt19937_64& random_in) : random{random_in} {}

  void change() {
    const auto name = std::string(1, static_cast<char>('a' + this->random() % 6));
    ++this->version;
    if (this->random() % 3 == 0 && this->objects.contains(name)) {
      this->history.push_back({{name, object_version{this->objects[name]}, "", false}, true});
      this->history.back().object.version = object_version{this->version};
      this->objects.erase(name);
    } else {
      this->objects[name] = this->version;
      this->history.push_back({{name, object_version{this->version}, "", false}, false});
    }
    this->past[this->version] = this->objects;
  }
  void forget() { this->oldest = this->version; }

  [[nodiscard]] feed_reply answer(const feed_call& call, bool stale) {
    feed_reply reply;
    reply.status = feed_status::ok;
    if (call.call_type == feed_call::type::watch) {
      if (call.since_version.count() < this->oldest) {
        reply.status = feed_status::history_gone;
        return reply;
      }
      for (const auto& entry : this->history) {
        if (entry.object.version > call.since_version) {
          reply.changes.push_back(entry);
        }
      }
      reply.store_version = object_version{this->version};
      return reply;
    }
    auto at = this->version;
    if (stale && !this->past.empty()) {
      at = std::next(this->past.begin(), static_cast<std::ptrdiff_t>(this->random() % this->past.size()))
               ->first;
    }
    const auto& seen = this->past.contains(at) ? this->past[at] : this->objects;
    constexpr std::size_t page = 2;
    for (const auto& [name, object_at] : seen) {
      if (name <= call.after_name) {
        continue;
      }
      if (reply.items.size() == page) {
        reply.has_more = true;
        break;
      }
      reply.items.push_back({name, object_version{object_at}, "", false});
    }
    reply.store_version = object_version{at};
    return reply;
  }

  std::mt19937_64& random;
  std::map<std::string, std::int64_t> objects;
  std::map<std::int64_t, std::map<std::string, std::int64_t>> past;
  std::vector<object_change> history;
  std::int64_t version{1};
  std::int64_t oldest{0};
};

class walk {
 public:
  explicit walk(std::uint64_t seed) : random{seed}, store{this->random}, feed{feed_timing{}, seed} {}

  void run() {
    for (int step = 0; step < 400; ++step) {
      this->step();
      if (testing::Test::HasFailure()) {
        return;
      }
    }
    // The store is well again: whatever happened, the feed must come to hold just what the store holds.
    for (int step = 0; step < 40; ++step) {
      this->now = this->now + duration{3000};
      if (!this->open) {
        this->open = this->feed.next_call(this->now);
      }
      if (this->open) {
        this->feed.on_reply(this->store.answer(*std::exchange(this->open, std::nullopt), false), this->now);
      }
      this->check();
    }
    std::map<std::string, std::int64_t> held;
    for (const auto& [name, object] : this->feed.objects()) {
      held[name] = object.version.count();
    }
    EXPECT_EQ(held, this->store.objects);
  }

 private:
  void step() {
    this->now = this->now + duration{static_cast<std::int64_t>(this->random() % 400)};
    switch (this->random() % 8) {
      case 0:
      case 1:
      case 2:
        this->store.change();
        break;
      case 3:
        if (this->random() % 6 == 0) {
          this->store.forget();
        }
        break;
      case 4:
        // Cut off by the node itself, as when another kind finds the history gone.
        if (this->open) {
          this->open.reset();
          this->feed.abandon_call();
        }
        break;
      default:
        this->talk();
    }
    this->check();
  }

  void talk() {
    if (!this->open) {
      this->open = this->feed.next_call(this->now);
      return;
    }
    const auto call = *std::exchange(this->open, std::nullopt);
    if (this->random() % 4 == 0) {
      this->feed.on_reply({}, this->now);
      return;
    }
    this->feed.on_reply(this->store.answer(call, this->random() % 5 == 0), this->now);
  }

  /// No object ever goes back, and every change that the feed tells of is newer than the one before.
  void check() {
    for (const auto& change : this->feed.take_changes()) {
      auto& seen = this->told[change.object.name];
      if (change.deleted) {
        EXPECT_GE(change.object.version.count(), seen);
      } else {
        EXPECT_GT(change.object.version.count(), seen);
      }
      seen = change.object.version.count();
    }
  }

  std::mt19937_64 random;
  model_store store;
  object_feed feed;
  std::optional<feed_call> open;
  std::map<std::string, std::int64_t> told;
  time_point now{1000};
};

TEST(feed_walk, never_goes_back_and_ends_at_what_the_store_holds) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    walk{seed}.run();
    if (HasFailure()) {
      return;
    }
  }
}

}  // namespace
