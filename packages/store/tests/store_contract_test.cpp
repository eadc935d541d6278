// The contract of the object API, run against the in-memory store and against the HTTP adapter.
#include <gtest/gtest.h>

#include <chrono>
#include <thread>

#include "standins/fake_store.hpp"
#include "standins/http_server.hpp"
#include "standins/store_handler.hpp"
#include "zinnia/store/http_object_store.hpp"

namespace zinnia {
namespace {

/// A store to test and the fake behind it, whose faults can be set.
class subject {
 public:
  explicit subject(bool over_http) {
    if (over_http) {
      this->server =
          std::make_unique<standins::http_server>(0, [this](const standins::server_request& request) {
            return standins::handle_store(this->fake, request);
          });
      this->adapter = std::make_unique<http_object_store>(
          "http://127.0.0.1:" + std::to_string(this->server->port()), duration{2000});
    }
  }

  [[nodiscard]] object_store& store() {
    return this->adapter ? *this->adapter : static_cast<object_store&>(this->fake);
  }

  standins::fake_store fake;

 private:
  std::unique_ptr<standins::http_server> server;
  std::unique_ptr<http_object_store> adapter;
};

class store_contract : public testing::TestWithParam<bool> {
 protected:
  subject tested{GetParam()};
  object_store& store{this->tested.store()};
};

TEST_P(store_contract, versions_guard_every_write) {
  EXPECT_EQ(this->store.get("a/b").status, store_status::not_found);
  const auto made = this->store.put("a/b", "one", object_version{0});
  ASSERT_TRUE(made.ok());
  EXPECT_EQ(this->store.put("a/b", "again", object_version{0}).status, store_status::conflict);
  const auto changed = this->store.put("a/b", "two", made.version);
  ASSERT_TRUE(changed.ok());
  EXPECT_GT(changed.version, made.version);
  const auto stale = this->store.put("a/b", "three", made.version);
  EXPECT_EQ(stale.status, store_status::conflict);
  EXPECT_EQ(stale.version, changed.version);
  EXPECT_EQ(this->store.get("a/b").value, "two");
  EXPECT_EQ(this->store.remove("a/b", made.version).status, store_status::conflict);
  EXPECT_TRUE(this->store.remove("a/b", changed.version).ok());
  EXPECT_EQ(this->store.get("a/b").status, store_status::not_found);
  EXPECT_GT(this->store.put("a/b", "new", object_version{0}).version, changed.version);
}

TEST_P(store_contract, keys_and_values_are_taken_byte_for_byte) {
  const std::string key = "fates/klang-1/a~b 1%2Fx";
  std::string value = "\xff\n{}";
  value.insert(value.begin(), '\0');
  value.push_back('\0');
  ASSERT_TRUE(this->store.put(key, value, object_version{0}).ok());
  EXPECT_EQ(this->store.get(key).value, value);
}

TEST_P(store_contract, list_and_watch_show_a_prefix) {
  static_cast<void>(this->store.put("p/1", "x", object_version{0}));
  const auto second = this->store.put("p/2", "x", object_version{0});
  static_cast<void>(this->store.put("q/1", "x", object_version{0}));
  const auto listed = this->store.list("p/");
  ASSERT_EQ(listed.entries.size(), 2);
  EXPECT_EQ(listed.entries[1].key, "p/2");
  EXPECT_EQ(listed.entries[1].version, second.version);
  const auto quiet = this->store.watch("p/", listed.newest, duration{20});
  EXPECT_EQ(quiet.status, store_status::ok);
  EXPECT_TRUE(quiet.entries.empty());
  std::thread writer{[this] { static_cast<void>(this->store.put("p/3", "x", object_version{0})); }};
  const auto woken = this->store.watch("p/", listed.newest, duration{5000});
  writer.join();
  ASSERT_EQ(woken.entries.size(), 1);
  EXPECT_EQ(woken.entries[0].key, "p/3");
}

TEST_P(store_contract, outage_is_no_effect) {
  this->tested.fake.set_faults({true, {0}, 0, 0});
  EXPECT_EQ(this->store.put("a", "x", object_version{0}).status, store_status::unavailable);
  EXPECT_EQ(this->store.get("a").status, store_status::unavailable);
  EXPECT_EQ(this->store.list("").status, store_status::unavailable);
  this->tested.fake.set_faults({});
  EXPECT_EQ(this->store.get("a").status, store_status::not_found);
}

TEST_P(store_contract, lost_answer_is_unknown_and_resolved_by_reading_back) {
  this->tested.fake.set_faults({false, {0}, 1, 0});
  EXPECT_EQ(this->store.put("a", "x", object_version{0}).status, store_status::unknown);
  EXPECT_EQ(this->store.get("a").value, "x");

  struct lost_case {
    const char* name;
    int lost_answers;
    int lost_writes;
    store_status expected;
  };
  const std::vector<lost_case> table{
      {"answer lost after the write took effect", 1, 0, store_status::ok},
      {"write lost", 0, 1, store_status::unavailable},
      {"nothing lost", 0, 0, store_status::ok},
  };
  for (const auto& row : table) {
    const std::string key = std::string{"resolved/"} + row.name;
    this->tested.fake.set_faults({false, {0}, row.lost_answers, row.lost_writes});
    EXPECT_EQ(put_resolved(this->store, key, "mine", object_version{0}).status, row.expected) << row.name;
  }
}

TEST_P(store_contract, lost_answer_with_another_writer_in_between_is_a_conflict) {
  const auto base = this->store.put("a", "base", object_version{0});
  const auto theirs = this->store.put("a", "theirs", base.version);
  this->tested.fake.set_faults({false, {0}, 0, 1});
  const auto mine = put_resolved(this->store, "a", "mine", base.version);
  EXPECT_EQ(mine.status, store_status::conflict);
  EXPECT_EQ(mine.version, theirs.version);
}

INSTANTIATE_TEST_SUITE_P(fake_and_http, store_contract, testing::Values(false, true),
                         [](const auto& info) { return info.param ? "http" : "fake"; });

TEST(http_store, refused_connection_is_unavailable_also_for_writes) {
  std::uint16_t free_port = 0;
  {
    const standins::http_server server{0, [](const auto&) { return standins::server_answer{}; }};
    free_port = server.port();
  }
  http_object_store store{"http://127.0.0.1:" + std::to_string(free_port), duration{500}};
  EXPECT_EQ(store.put("a", "x", object_version{0}).status, store_status::unavailable);
}

TEST(http_store, silence_after_a_write_is_unknown) {
  const standins::http_server server{0, [](const auto&) {
                                       std::this_thread::sleep_for(std::chrono::milliseconds{400});
                                       return standins::server_answer{};
                                     }};
  http_object_store store{"http://127.0.0.1:" + std::to_string(server.port()), duration{50}};
  EXPECT_EQ(store.put("a", "x", object_version{0}).status, store_status::unknown);
  EXPECT_EQ(store.get("a").status, store_status::unavailable);
}

}  // namespace
}  // namespace zinnia
