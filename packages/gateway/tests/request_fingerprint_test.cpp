// What makes two requests the same.
#include "request_fingerprint.hpp"

#include <gtest/gtest.h>

using namespace zinnia;

namespace {

[[nodiscard]] request_head make_head() {
  request_head head;
  head.method = "POST";
  head.target = "/x/1?a=b";
  head.fields = {{"Host", "h"}, {"X-Request-Id", "1"}, {"X-Deadline-Ms", "900"}};
  return head;
}

TEST(request_fingerprint, stays_the_same_under_another_id_and_deadline) {
  auto again = make_head();
  again.fields = {{"X-Deadline-Ms", "100"}, {"Connection", "close"}, {"X-Request-Id", "2"}, {"host", "h"}};
  EXPECT_EQ(fingerprint_of(make_head(), {"body"}, "17"), fingerprint_of(again, {"body"}, "17"));
}

TEST(request_fingerprint, differs_with_each_part_that_a_server_handles) {
  const auto fingerprint = fingerprint_of(make_head(), {"body"}, "17");
  auto other_method = make_head();
  other_method.method = "PUT";
  auto other_host = make_head();
  other_host.fields[0].value = "i";
  auto other_target = make_head();
  other_target.target = "/x/1?a=c";
  auto other_credentials = make_head();
  other_credentials.fields.push_back({"Authorization", "Basic eA=="});
  for (const auto& head : {other_method, other_host, other_target, other_credentials}) {
    EXPECT_NE(fingerprint_of(head, {"body"}, "17"), fingerprint);
  }
  EXPECT_NE(fingerprint_of(make_head(), {"bodY"}, "17"), fingerprint);
  EXPECT_NE(fingerprint_of(make_head(), {"body"}, "18"), fingerprint);
  EXPECT_NE(fingerprint_of(make_head(), {"body"}, std::nullopt), fingerprint);
}

}  // namespace
