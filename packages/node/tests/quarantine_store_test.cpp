// Writes quarantined requests to a store with faults and reads them again; the clock of the calls is set by
// hand.
#include "quarantine_store.hpp"

#include <gtest/gtest.h>

#include "standins/platform_store.hpp"
#include "zinnia/membership/quarantine_codec.hpp"
#include "zinnia/platform/platform_deployment.hpp"

using namespace zinnia;
using standins::platform_store;
using standins::threaded_http_server;

namespace {

constexpr const char* kind = object_kinds::quarantines;

class quarantine_store_test : public testing::Test {
 protected:
  /// Runs calls until the condition holds. Each turn is a minute later for the pauses between calls.
  template <class Condition>
  void run_until(Condition condition) {
    while (!condition()) {
      this->now = this->now + duration{60'000};
      this->quarantines.issue_calls(this->now);
      this->calls.wait(duration{20}, -1);
    }
  }
  [[nodiscard]] static crash_report make_report(std::uint64_t request, int level = 3) {
    return {request_fingerprint{request}, 7, level, 4, duration{500}, duration{2'000}};
  }

  platform_store store{2};
  threaded_http_server server{0, [this](const auto& request) { return this->store.handle(request); }};
  platform::platform_deployment adapter{"127.0.0.1:" + std::to_string(this->server.port()), ""};
  metrics counts;
  async_http_client calls;
  std::vector<crash_report> read;
  int reads{0};
  quarantine_store quarantines{this->calls, this->adapter.store(), this->counts, [this](const auto& reports) {
                                 ++this->reads;
                                 this->read.insert(this->read.end(), reports.begin(), reports.end());
                               }};
  time_point now{boot_clock{}.now()};
};

TEST_F(quarantine_store_test, stores_a_quarantine_once_and_removes_it_when_released) {
  this->quarantines.save(make_report(0xab));
  this->quarantines.save(make_report(0xab));
  this->run_until([&] { return this->store.contains(kind, "00000000000000ab"); });
  this->quarantines.save(make_report(0xab, 0));
  this->run_until([&] { return !this->store.contains(kind, "00000000000000ab"); });
}

TEST_F(quarantine_store_test, repeats_a_write_that_was_refused_or_whose_response_was_lost) {
  this->run_until([&] { return this->store.calls_for(kind) > 0; });
  this->store.set_faults({.lost_responses = 1});
  this->quarantines.save(make_report(1));
  this->run_until([&] { return this->store.contains(kind, "0000000000000001"); });
  this->store.set_faults({.error_status = 503});
  this->quarantines.save(make_report(2));
  const auto calls_before = this->store.calls_for(kind);
  this->run_until([&] { return this->store.calls_for(kind) > calls_before + 2; });
  this->store.set_faults({});
  this->run_until([&] { return this->store.contains(kind, "0000000000000002"); });
}

TEST_F(quarantine_store_test, reads_all_pages_once_it_can_and_passes_over_what_it_cannot_read) {
  const auto unix_now = unix_time_ms();
  for (std::uint64_t i = 1; i <= 5; ++i) {
    this->store.put_raw(kind, quarantine_name(request_fingerprint{i}),
                        encode_quarantine(make_report(i), unix_now));
  }
  this->store.put(kind, "not-a-fingerprint", {{"crashes", 3}});
  this->store.put(kind, "00000000000000ff", "not an object");
  auto old = make_report(9);
  old.age = duration{86'400'000};
  this->store.put_raw(kind, quarantine_name(old.request), encode_quarantine(old, unix_now));
  this->store.set_faults({.error_status = 503});
  this->run_until([&] { return this->store.calls_for(kind) > 1; });
  this->store.set_faults({});
  this->run_until([&] { return this->read.size() == 5; });
  for (const auto& report : this->read) {
    EXPECT_EQ(report.level, 3);
    EXPECT_EQ(report.crashes, 4);
    EXPECT_GE(report.age.ms, 500);
    EXPECT_GE(report.first_age.ms, 2'000);
  }
  this->run_until([&] { return !this->store.contains(kind, quarantine_name(old.request)); });
  EXPECT_EQ(this->read.size(), 5U);
}

TEST_F(quarantine_store_test, gives_up_reading_what_stays_unreadable) {
  this->store.put_raw(kind, "00000000000000ff", "breaks the page");
  this->quarantines.save(make_report(1));
  this->run_until([&] { return this->store.contains(kind, "0000000000000001"); });
  EXPECT_EQ(this->reads, 0);
}

TEST(quarantine_codec, rejects_what_is_out_of_range_and_names_it) {
  const auto document = encode_quarantine({request_fingerprint{1}, 2, 3, 4, {}, {}}, 1'000'000);
  EXPECT_TRUE(decode_quarantine("0000000000000001", document, 1'000'000));
  EXPECT_EQ(decode_quarantine("0000000000000001", document, 900'000)->age, duration{0})
      << "a clock that is behind";
  EXPECT_FALSE(decode_quarantine("1", document, 1'000'000));
  EXPECT_FALSE(decode_quarantine("000000000000000g", document, 1'000'000));
  for (const char* wrong :
       {"", "[]", "{}", R"({"last_crash_unix_ms":"x"})",
        R"({"last_crash_unix_ms":-1,"first_crash_unix_ms":0,"crashes":3,"backend":"0"})",
        R"({"last_crash_unix_ms":1,"first_crash_unix_ms":0,"crashes":3,"backend":"xyz"})",
        R"({"last_crash_unix_ms":1,"first_crash_unix_ms":0,"crashes":0,"backend":"0"})",
        R"({"last_crash_unix_ms":1,"first_crash_unix_ms":0,"crashes":4294967299,"backend":"0"})"}) {
    const auto decoded = decode_quarantine("0000000000000001", wrong, 1'000'000);
    ASSERT_FALSE(decoded) << wrong;
    EXPECT_NE(decoded.last_error().describe().find("0000000000000001"), std::string::npos);
  }
}

}  // namespace
