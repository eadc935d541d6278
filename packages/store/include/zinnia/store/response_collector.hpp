// Collects a response from libcurl, and refuses what is no HTTP or has no end.
#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "zinnia/store/http_call.hpp"

namespace zinnia {

/// \brief   Receives one response.
/// \details libcurl passes on statuses and field names that HTTP does not allow, and bodies of any length.
class response_collector {
 public:
  response_collector() = default;
  response_collector(const response_collector&) = delete;
  response_collector& operator=(const response_collector&) = delete;
  response_collector(response_collector&&) = delete;
  response_collector& operator=(response_collector&&) = delete;
  ~response_collector() = default;

  /// \brief Configures a handle to deliver its response here. This object must outlive the transfer.
  void attach(CURL* handle);
  /// \brief Ends the transfer and returns the response, or why there is none.
  [[nodiscard]] http_response take(CURL* handle, CURLcode code);

 private:
  static std::size_t on_header_line(char* data, std::size_t size, std::size_t count, void* target);
  static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* target);
  /// Returns false if the line makes the head invalid.
  [[nodiscard]] bool add_header_line(std::string_view line);

  http_response received;
  // The value of the last field, which a folded line continues; null before the first field.
  std::string* last_value{nullptr};
  // The blank line after the last head has arrived.
  bool head_complete{false};
  // Why this is no response; empty if it may be one.
  std::string defect;
};

}  // namespace zinnia
