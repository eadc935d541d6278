// Random sequences of calls from a feed to a store model that loses or delays responses, forgets history,
// returns stale lists and comes back from copies.
#include <gtest/gtest.h>

#include <map>
#include <random>

#include "zinnia/store/object_feed.hpp"
#include "zinnia/store/store_era.hpp"

using namespace zinnia;

namespace {

/// Model of the store with its objects and history. It returns only those wrong responses that a real store
/// may return, such as stale lists.
class model_store {
 public:
  explicit model_store(std::mt19937_64& random_in) : random{random_in} {}

  void change_random_object() {
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
    this->objects_by_version[this->version] = this->objects;
  }
  void forget_history() { this->oldest_watchable_version = this->version; }
  /// Goes back to an earlier state of this era and begins the next one, in which revisions are given out
  /// again.
  void restore_from_copy() {
    const auto copied = this->random_list_version();
    const auto next_era = era_of(object_version{this->version}) + 1;
    const auto to_next_era = [&](std::int64_t version_number) {
      return make_version(next_era, revision_of(object_version{version_number})).count();
    };
    this->objects = this->objects_by_version.contains(copied) ? this->objects_by_version[copied]
                                                              : std::map<std::string, std::int64_t>{};
    for (auto& [name, object_version_number] : this->objects) {
      object_version_number = to_next_era(object_version_number);
    }
    this->version = to_next_era(copied);
    this->objects_by_version[this->version] = this->objects;
    this->history.clear();
    this->oldest_watchable_version = this->version;
  }

  [[nodiscard]] feed_reply respond(const feed_call& call, bool stale) {
    feed_reply reply;
    reply.status = feed_status::ok;
    if (call.call_type == feed_call::type::watch) {
      if (call.since_version.count() < this->oldest_watchable_version) {
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
    const auto list_version = stale ? this->random_list_version() : this->version;
    const auto& listed = this->objects_by_version.contains(list_version)
                             ? this->objects_by_version[list_version]
                             : this->objects;
    constexpr std::size_t page_size = 2;
    for (const auto& [name, object_version_number] : listed) {
      if (name <= call.after_name) {
        continue;
      }
      if (reply.items.size() == page_size) {
        reply.has_more = true;
        break;
      }
      reply.items.push_back({name, object_version{object_version_number}, "", false});
    }
    reply.store_version = object_version{list_version};
    return reply;
  }

  /// Returns a version that the store has had, of any era.
  [[nodiscard]] std::int64_t random_list_version() {
    if (this->objects_by_version.empty()) {
      return this->version;
    }
    return std::next(this->objects_by_version.begin(),
                     static_cast<std::ptrdiff_t>(this->random() % this->objects_by_version.size()))
        ->first;
  }

  std::mt19937_64& random;
  std::map<std::string, std::int64_t> objects;
  std::map<std::int64_t, std::map<std::string, std::int64_t>> objects_by_version;
  std::vector<object_change> history;
  std::int64_t version{1};
  std::int64_t oldest_watchable_version{0};
};

class random_sequence {
 public:
  explicit random_sequence(std::uint64_t seed)
      : random{seed}, store{this->random}, feed{feed_timing{}, seed} {}

  void run() {
    for (int step = 0; step < 400; ++step) {
      this->step();
      if (testing::Test::HasFailure()) {
        return;
      }
    }
    // The store works again. Whatever happened before, the feed must end with exactly the store's objects.
    for (int step = 0; step < 40; ++step) {
      this->now = this->now + duration{3000};
      if (!this->call_in_flight) {
        this->call_in_flight = this->feed.next_call(this->now);
      }
      if (this->call_in_flight) {
        this->feed.on_reply(this->store.respond(*std::exchange(this->call_in_flight, std::nullopt), false),
                            this->now);
      }
      this->check();
    }
    std::map<std::string, std::int64_t> object_versions;
    for (const auto& [name, object] : this->feed.objects()) {
      object_versions[name] = object.version.count();
    }
    EXPECT_EQ(object_versions, this->store.objects);
  }

 private:
  void step() {
    this->now = this->now + duration{static_cast<std::int64_t>(this->random() % 400)};
    switch (this->random() % 8) {
      case 0:
      case 1:
      case 2:
        this->store.change_random_object();
        break;
      case 3:
        if (this->random() % 6 == 0) {
          this->store.forget_history();
        } else if (this->random() % 12 == 0) {
          this->store.restore_from_copy();
        }
        break;
      case 4:
        // The node abandons the call, as it does when the history of another kind is gone.
        if (this->call_in_flight) {
          this->call_in_flight.reset();
          this->feed.abandon_call();
        }
        break;
      default:
        this->call_or_respond();
    }
    this->check();
  }

  void call_or_respond() {
    if (!this->call_in_flight) {
      this->call_in_flight = this->feed.next_call(this->now);
      return;
    }
    const auto call = *std::exchange(this->call_in_flight, std::nullopt);
    if (this->random() % 4 == 0) {
      this->feed.on_reply({}, this->now);
      return;
    }
    this->feed.on_reply(this->store.respond(call, this->random() % 5 == 0), this->now);
  }

  /// Checks that no object returns to an older version and that every reported change is newer than the one
  /// before; a removal may have the same version.
  void check() {
    for (const auto& change : this->feed.take_changes()) {
      auto& last_version = this->reported_versions[change.object.name];
      if (change.deleted) {
        EXPECT_GE(change.object.version.count(), last_version);
      } else {
        EXPECT_GT(change.object.version.count(), last_version);
      }
      last_version = change.object.version.count();
    }
  }

  std::mt19937_64 random;
  model_store store;
  object_feed feed;
  std::optional<feed_call> call_in_flight;
  std::map<std::string, std::int64_t> reported_versions;
  time_point now{1000};
};

TEST(object_feed_random, never_returns_to_older_versions_and_converges_to_store) {
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    random_sequence{seed}.run();
    if (HasFailure()) {
      return;
    }
  }
}

}  // namespace
