// Parsing and formatting of endpoints.
#include <gtest/gtest.h>

#include "zinnia/core/endpoint.hpp"

namespace zinnia {
namespace {

TEST(endpoint, parses_and_formats_address_and_port) {
  const auto parsed = parse_endpoint("10.1.0.35:8144");
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->ip, "10.1.0.35");
  EXPECT_EQ(parsed->port, 8144);
  EXPECT_EQ(parsed->str(), "10.1.0.35:8144");
  EXPECT_EQ(parse_endpoint("127.0.0.1:0")->port, 0);
  EXPECT_EQ(parse_endpoint("127.0.0.1:65535")->port, 65535);
}

TEST(endpoint, rejects_malformed_text) {
  for (const auto* const text :
       {"", ":", "10.1.0.35", "10.1.0.35:", ":80", "10.1.0:80", "10.1.0.256:80", "host:80", "10.1.0.35:65536",
        "10.1.0.35:-1", "10.1.0.35:80x", "10.1.0.35: 80", "[::1]:80"}) {
    const auto parsed = parse_endpoint(text);
    EXPECT_FALSE(parsed) << text;
    EXPECT_EQ(parsed.last_error().code, reason::invalid_setting) << text;
  }
}

/// Everything after the NUL would be read by some parts of the program and not by others.
TEST(endpoint, rejects_an_embedded_nul) {
  using namespace std::string_view_literals;
  for (const auto text : {"10.1.0.35\0:80"sv, "10.1.0.35\0.example:80"sv, "10.1.0.35:80\0"sv, "\0:80"sv}) {
    EXPECT_FALSE(parse_endpoint(text));
  }
}

}  // namespace
}  // namespace zinnia
