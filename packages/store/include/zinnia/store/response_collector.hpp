// Collects a response from libcurl, and refuses what is no HTTP or has no end.
#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <string>
#include <string_view>

#include "zinnia/store/http_call.hpp"

namespace zinnia {

/// \brief The longest body of a response, in bytes. A page of a list has about 1 MB.
inline constexpr std::size_t max_response_body_bytes = 4 << 20;

/// \brief The bytes that the bodies of several calls may have together.
struct body_budget {
  std::size_t limit{0};
  std::size_t used{0};
};

/// \brief   Receives one response.
/// \details libcurl passes on statuses and field names that HTTP does not allow, and bodies of any length.
class response_collector {
 public:
  /// \param shared_budget_in Must outlive this object; null if only `max_response_body_bytes` applies.
  explicit response_collector(body_budget* shared_budget_in = nullptr) : shared_budget{shared_budget_in} {}
  response_collector(const response_collector&) = delete;
  response_collector& operator=(const response_collector&) = delete;
  response_collector(response_collector&&) = delete;
  response_collector& operator=(response_collector&&) = delete;
  ~response_collector() { this->release_budget(); }

  /// \brief Configures a handle to deliver its response here. This object must outlive the transfer.
  void attach(CURL* handle);
  /// \brief Ends the transfer and returns the response, or why there is none.
  [[nodiscard]] http_response take(CURL* handle, CURLcode code);

 private:
  static std::size_t on_header_line(char* data, std::size_t size, std::size_t count, void* target);
  static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* target);
  /// Returns false if the line makes the head invalid.
  [[nodiscard]] bool add_header_line(std::string_view line);
  /// Returns false if the body becomes too long.
  [[nodiscard]] bool add_body(std::string_view piece);
  void release_budget() noexcept;

  body_budget* shared_budget;
  // What this body has taken from the budget.
  std::size_t budget_used{0};
  http_response received;
  // The value of the last field, which a folded line continues; null before the first field.
  std::string* last_value{nullptr};
  std::size_t header_bytes{0};
  // The blank line after the last head has arrived.
  bool head_complete{false};
  // Why this is no response; empty if it may be one.
  std::string defect;
};

}  // namespace zinnia
