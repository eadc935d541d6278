// A blocking HTTP call with libcurl, on a connection owned by the calling thread.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief A request and its timeout.
struct http_call {
  std::string method{"GET"};
  std::string url;
  /// Complete header lines, as in "Name: value".
  std::vector<std::string> headers;
  std::string body;
  /// Limit for the whole call, in ms.
  duration timeout{2000};
};

/// \brief The response to a call; status 0 means that no complete response arrived.
struct http_response {
  long status{0};
  /// Header values by lower-case name.
  std::map<std::string, std::string> headers;
  std::string body;
  /// True if the connection failed, so that no byte of the request can have reached the server.
  bool never_connected{false};
  /// True if the body was longer than that of a response may be (`max_response_body_bytes`).
  bool too_long{false};
  /// Why there is no response; empty if a complete one arrived.
  std::string failure_reason;
};

/// \brief Performs a call and waits for the response. Network errors are returned, never thrown.
[[nodiscard]] http_response perform(const http_call& call);

/// \brief Percent-encodes a text for the query or path of a URL; '/' is left as it is.
[[nodiscard]] std::string url_escape(const std::string& text);

}  // namespace zinnia
