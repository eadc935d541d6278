// Damaged requests, responses and query texts: parsers must end, agree with themselves and keep no more than
// they were given.
#include <gtest/gtest.h>

#include "standins/byte_mutator.hpp"
#include "zinnia/http/message_parser.hpp"

using namespace zinnia;
using standins::byte_mutator;

namespace {

constexpr int input_count = 20'000;
constexpr std::uint32_t header_limit = 16 << 10;

const std::vector<std::string> requests{
    "GET /a/?known=1,2&wait_ms=30 HTTP/1.1\r\nHost: x\r\nConnection: keep-alive, X-A\r\nX-A: 1\r\n\r\n",
    "POST /a/ HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nhelloGET / "
    "HTTP/1.1\r\n\r\n",
    "POST /a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;e=\"v\"\r\nabc\r\n2\r\nde\r\n0\r\nX-Late: "
    "1\r\n\r\n",
    "HEAD /%41%zz%2f HTTP/1.0\r\n\r\n"};
const std::vector<std::string> responses{
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 5\r\nServer-Load: 1,2,3\r\n\r\nhello",
    "HTTP/1.1 503 X\r\nRetry-After: 0.5\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nto the end"};

struct outcome {
  parse_progress progress{parse_progress::needs_more};
  std::size_t consumed{0};
};

/// Feeds the input as a connection does, in pieces that `next_piece` chooses.
template <class Parser, class NextPiece>
[[nodiscard]] outcome feed_all(Parser& parser, const std::string& bytes, NextPiece next_piece) {
  outcome end;
  std::string input;
  std::size_t fed = 0;
  while (end.progress == parse_progress::needs_more && fed < bytes.size()) {
    const auto piece = std::min(next_piece(), bytes.size() - fed);
    input.append(bytes, fed, piece);
    fed += piece;
    std::size_t consumed = 0;
    end.progress = parser.feed(input, consumed);
    EXPECT_LE(consumed, input.size());
    input.erase(0, consumed);
    end.consumed += consumed;
  }
  return end;
}

TEST(random_input, requests_end_alike_in_one_piece_and_in_many) {
  byte_mutator inputs{requests, 1};
  for (int i = 0; i < input_count; ++i) {
    const auto bytes = inputs.next();
    request_parser whole{header_limit};
    const auto at_once = feed_all(whole, bytes, [&] { return bytes.size(); });
    request_parser pieces{header_limit};
    const auto in_pieces = feed_all(pieces, bytes, [&] { return 1 + inputs.below(5); });
    ASSERT_EQ(at_once.progress == parse_progress::complete, in_pieces.progress == parse_progress::complete)
        << i << ": " << testing::PrintToString(bytes);
    if (at_once.progress != parse_progress::complete) {
      // In pieces, the parser notices some malformed heads only when a few more bytes have come.
      continue;
    }
    EXPECT_EQ(at_once.consumed, in_pieces.consumed) << i;
    const auto head = whole.take_head();
    EXPECT_EQ(head.target, pieces.take_head().target) << i;
    const auto body = whole.take_body().str();
    EXPECT_EQ(body, pieces.take_body().str()) << i;
    EXPECT_LE(head.target.size() + body.size(), bytes.size()) << i;
    static_cast<void>(head.query_parameter("known"));
    EXPECT_LE(end_to_end_fields(head.fields, {"Host"}).size(), head.fields.size());
  }
}

TEST(random_input, responses_end_alike_in_one_piece_and_in_many) {
  byte_mutator inputs{responses, 2};
  for (int i = 0; i < input_count; ++i) {
    const auto bytes = inputs.next();
    std::string body;
    response_parser whole{header_limit, [&](std::string_view piece) { body += piece; }};
    const auto at_once = feed_all(whole, bytes, [&] { return bytes.size(); });
    std::string body_in_pieces;
    response_parser pieces{header_limit, [&](std::string_view piece) { body_in_pieces += piece; }};
    const auto in_pieces = feed_all(pieces, bytes, [&] { return 1 + inputs.below(5); });
    EXPECT_LE(body.size(), bytes.size()) << i;
    ASSERT_EQ(at_once.progress == parse_progress::complete, in_pieces.progress == parse_progress::complete)
        << i << ": " << testing::PrintToString(bytes);
    if (at_once.progress == parse_progress::complete) {
      EXPECT_EQ(at_once.consumed, in_pieces.consumed) << i;
      EXPECT_EQ(body, body_in_pieces) << i << ": " << testing::PrintToString(bytes);
      EXPECT_EQ(whole.head().status, pieces.head().status) << i;
    }
  }
}

}  // namespace
