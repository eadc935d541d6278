// One blocking HTTP call by libcurl on a connection that the calling thread keeps.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "zinnia/core/clock.hpp"

namespace zinnia {

/// \brief What to send.
struct http_call {
  std::string method{"GET"};
  std::string url;
  std::vector<std::string> headers;
  std::string body;
  duration timeout{2000};
};

/// \brief What came back; status 0 means no complete answer.
struct http_response {
  long status{0};
  /// Header names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;
  /// No byte of the request can have reached the other side.
  bool never_connected{false};
  std::string failure_reason;
};

/// \brief Performs the call; never throws on network errors.
[[nodiscard]] http_response perform(const http_call& call);

/// \brief Escapes a text for use in a URL's query or path, leaving '/' as it is.
[[nodiscard]] std::string url_escape(const std::string& text);

}  // namespace zinnia
