// Every promise that the soak checks is noticed when it is broken.
#include "ledger.hpp"

#include <gtest/gtest.h>

#include <functional>

using namespace zinnia::soak;

namespace {

const sent_request lookup{"q1", "GET", "/r0/1", "", true};
const sent_request booking{"q2", "POST", "/r1/1", "body", false};

[[nodiscard]] received_answer whole(const std::string& id, const std::string& stamp) {
  received_answer answer;
  answer.status = 200;
  answer.stamp = stamp;
  answer.body = expected_body(id);
  return answer;
}

[[nodiscard]] received_answer refused() {
  received_answer answer;
  answer.status = 503;
  return answer;
}

struct broken_promise {
  const char* finding;
  std::function<void(ledger&)> play;
};

TEST(ledger, notices_every_broken_promise) {
  const std::vector<broken_promise> table{
      {"nobody sent", [](ledger& book) { static_cast<void>(book.on_run(lookup, "b")); }},
      {"was changed",
       [](ledger& book) {
         book.on_sent(booking);
         static_cast<void>(book.on_run({"q2", "POST", "/r1/1", "other", false}, "b"));
       }},
      {"ran 2 times",
       [](ledger& book) {
         book.on_sent(booking);
         static_cast<void>(book.on_run(booking, "b"));
         static_cast<void>(book.on_run(booking, "c"));
       }},
      {"was refused with 503 and ran",
       [](ledger& book) {
         book.on_sent(lookup);
         book.on_answer("q1", refused());
         static_cast<void>(book.on_run(lookup, "b"));
       }},
      {"answer of another",
       [](ledger& book) {
         book.on_sent(lookup);
         book.on_sent(booking);
         const auto stamp = book.on_run(booking, "b");
         book.on_answer("q1", whole("q1", stamp));
       }},
      {"not the server's",
       [](ledger& book) {
         book.on_sent(lookup);
         auto answer = whole("q1", book.on_run(lookup, "b"));
         answer.body.pop_back();
         book.on_answer("q1", answer);
       }},
      {"cut off at n1",
       [](ledger& book) {
         book.on_sent(lookup);
         static_cast<void>(book.on_run(lookup, "b"));
         received_answer answer;
         answer.cut = true;
         answer.undisturbed = true;
         answer.node = "n1";
         book.on_answer("q1", answer);
       }},
  };
  for (const auto& row : table) {
    ledger book;
    row.play(book);
    const auto findings = book.close();
    ASSERT_FALSE(findings.empty()) << row.finding;
    EXPECT_NE(findings.front().find(row.finding), std::string::npos) << findings.front();
  }
}

TEST(ledger, finds_nothing_where_all_is_kept) {
  ledger book;
  book.on_sent(lookup);
  static_cast<void>(book.on_run(lookup, "b"));
  book.on_answer("q1", whole("q1", book.on_run(lookup, "c")));
  book.on_sent(booking);
  book.on_answer("q2", refused());
  EXPECT_TRUE(book.close().empty());
  EXPECT_EQ(book.summary(), "2 requests, 200: 1, 503: 1");
}

}  // namespace
