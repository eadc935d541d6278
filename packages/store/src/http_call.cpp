// Uses libcurl's easy interface with one handle per thread, so that connections are reused but never shared
// between threads.
#include "zinnia/store/http_call.hpp"

#include <curl/curl.h>

#include <cctype>
#include <memory>

#include "zinnia/store/http_upload.hpp"
#include "zinnia/store/response_collector.hpp"

namespace zinnia {
namespace impl {
namespace {

struct easy_deleter {
  void operator()(CURL* handle) const noexcept { curl_easy_cleanup(handle); }
};
struct header_list_deleter {
  void operator()(curl_slist* list) const noexcept { curl_slist_free_all(list); }
};

[[nodiscard]] CURL* thread_handle() {
  thread_local std::unique_ptr<CURL, easy_deleter> handle{curl_easy_init()};
  curl_easy_reset(handle.get());
  return handle.get();
}

}  // namespace
}  // namespace impl

http_response perform(const http_call& call) {
  CURL* const handle = impl::thread_handle();
  std::unique_ptr<curl_slist, impl::header_list_deleter> headers{curl_slist_append(nullptr, "Expect:")};
  for (const auto& header : call.headers) {
    headers.reset(curl_slist_append(headers.release(), header.c_str()));
  }
  curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.ms));
  response_collector response;
  response.attach(handle);
  http_upload upload{&call.body, 0};
  if (call.method != "GET") {
    set_upload(handle, call.method, upload, false);
  }
  const CURLcode code = curl_easy_perform(handle);
  return response.take(handle, code);
}

std::string url_escape(const std::string& text) {
  constexpr const char* hex_digits = "0123456789ABCDEF";
  std::string escaped;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '/' || character == '-' || character == '.' ||
        character == '_') {
      escaped += character;
      continue;
    }
    escaped += '%';
    escaped += hex_digits[byte >> 4U];
    escaped += hex_digits[byte & 15U];
  }
  return escaped;
}

}  // namespace zinnia
