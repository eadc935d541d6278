// Tests the message parsers, field forwarding and number parsing.
#include <gtest/gtest.h>

#include "zinnia/http/message_parser.hpp"

using namespace zinnia;

namespace {

struct request_case {
  const char* name;
  std::string bytes;
  parse_progress expected;
  std::string body;
};

TEST(request_parser, accepts_complete_and_rejects_malformed_requests) {
  const std::vector<request_case> table{
      {"no body", "GET /a/ HTTP/1.1\r\nHost: x\r\n\r\n", parse_progress::complete, ""},
      {"body by length", "POST /a/ HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
       parse_progress::complete, "hello"},
      {"chunked body",
       "POST /a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
       parse_progress::complete, "abcde"},
      {"trailers are not header fields",
       "POST /a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Late: 1\r\n\r\n",
       parse_progress::complete, "a"},
      {"incomplete body", "POST /a/ HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel", parse_progress::needs_more,
       "hel"},
      {"incomplete head", "GET /a/ HTTP/1.1\r\nHos", parse_progress::needs_more, ""},
      {"length and chunked encoding",
       "POST /a/ HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       parse_progress::malformed, ""},
      {"two lengths", "POST /a/ HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
       parse_progress::malformed, ""},
      {"negative length", "POST /a/ HTTP/1.1\r\nContent-Length: -5\r\n\r\n", parse_progress::malformed, ""},
      {"not HTTP", "hello there\r\n\r\n", parse_progress::malformed, ""},
      {"space in a field name", "GET /a/ HTTP/1.1\r\nBad Name: 1\r\n\r\n", parse_progress::malformed, ""},
      {"chunk size not a number", "POST /a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
       parse_progress::malformed, ""},
  };
  for (const auto& row : table) {
    request_parser parser{16 << 10};
    std::size_t consumed = 0;
    EXPECT_EQ(parser.feed(row.bytes, consumed), row.expected) << row.name;
    if (row.expected != parse_progress::malformed) {
      EXPECT_EQ(parser.take_body().str(), row.body) << row.name;
    }
  }
}

TEST(message_parser, rejects_a_message_whose_end_depends_on_an_unknown_transfer_coding) {
  const std::string smuggled = "GET /b/ HTTP/1.1\r\n\r\n";
  for (const std::string coding :
       {"gzip", "identity", "xchunked", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked;q=1",
        "", "chunked\r\nTransfer-Encoding: chunked", "chunked\r\nTransfer-Encoding: identity",
        "gzip\r\nContent-Length: 5"}) {
    std::size_t consumed = 0;
    request_parser request{16 << 10};
    EXPECT_EQ(
        request.feed("POST /a/ HTTP/1.1\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + smuggled, consumed),
        parse_progress::malformed)
        << coding;
    response_parser response{16 << 10, [](std::string_view /*piece*/) {}};
    EXPECT_EQ(
        response.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n" + smuggled, consumed),
        parse_progress::malformed)
        << coding;
  }
  for (const std::string coding : {"chunked", "Chunked", "  chunked \t"}) {
    std::size_t consumed = 0;
    request_parser request{16 << 10};
    EXPECT_EQ(
        request.feed("POST /a/ HTTP/1.1\r\nTransfer-Encoding: " + coding + "\r\n\r\n2\r\nab\r\n0\r\n\r\n",
                     consumed),
        parse_progress::complete)
        << coding;
  }
}

TEST(request_parser, rejects_odd_lengths) {
  for (const std::string length :
       {"+5", "5 5", "5, 6", "0x5", "5.0", "", "99999999999999999999999", "5\r\nContent-Length: 6"}) {
    std::size_t consumed = 0;
    request_parser request{16 << 10};
    EXPECT_EQ(request.feed("POST /a/ HTTP/1.1\r\nContent-Length: " + length + "\r\n\r\nhello", consumed),
              parse_progress::malformed)
        << length;
  }
}

TEST(request_parser, parses_byte_by_byte_and_leaves_the_next_request) {
  const std::string bytes =
      "POST /a/?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcGET /b/ HTTP/1.1\r\n";
  request_parser parser{16 << 10};
  std::string input;
  std::size_t fed = 0;
  auto progress = parse_progress::needs_more;
  while (progress == parse_progress::needs_more) {
    input += bytes.at(fed++);
    std::size_t consumed = 0;
    progress = parser.feed(input, consumed);
    input.erase(0, consumed);
  }
  ASSERT_EQ(progress, parse_progress::complete);
  const auto head = parser.take_head();
  EXPECT_EQ(head.target, "/a/?x=1");
  EXPECT_EQ(head.path(), "/a/");
  EXPECT_EQ(head.query_parameter("x"), "1");
  EXPECT_EQ(parser.take_body().str(), "abc");
  EXPECT_EQ(bytes.substr(fed), "GET /b/ HTTP/1.1\r\n");
}

TEST(request_parser, rejects_a_head_over_the_limit) {
  request_parser parser{1024};
  std::size_t consumed = 0;
  EXPECT_EQ(parser.feed("GET / HTTP/1.1\r\nX: " + std::string(2000, 'a') + "\r\n\r\n", consumed),
            parse_progress::malformed);
  EXPECT_EQ(parser.parse_error(), boost::beast::http::error::header_limit);
}

TEST(message, end_to_end_fields_drops_connection_specific_and_replaced_fields) {
  const header_fields fields{{"Host", "h"},   {"Connection", "keep-alive, X-Hop"},
                             {"X-Hop", "1"},  {"Transfer-Encoding", "chunked"},
                             {"X-Kept", "2"}, {"X-Replaced", "3"}};
  const auto forwarded = end_to_end_fields(fields, {"x-replaced"});
  ASSERT_EQ(forwarded.size(), 2U);
  EXPECT_EQ(forwarded[0].name, "Host");
  EXPECT_EQ(forwarded[1].name, "X-Kept");
}

TEST(message, parse_number_rejects_signs_text_and_overflow) {
  EXPECT_EQ(parse_number("1200"), 1200);
  for (const auto* const text : {"", "-1", "+1", "1s", "abc", "99999999999999999999"}) {
    EXPECT_FALSE(parse_number(text)) << text;
  }
}

}  // namespace
