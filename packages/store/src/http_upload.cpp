// The libcurl read callback and options for request bodies.
#include "zinnia/store/http_upload.hpp"

#include <algorithm>
#include <cstring>

namespace zinnia {
namespace impl {
namespace {

std::size_t read_upload(char* target, std::size_t size, std::size_t count, void* context) {
  auto& source = *static_cast<http_upload*>(context);
  const auto copied = std::min(size * count, source.body->size() - source.position);
  std::memcpy(target, source.body->data() + source.position, copied);
  source.position += copied;
  return copied;
}

}  // namespace
}  // namespace impl

void set_upload(CURL* handle, const std::string& method, http_upload& source, bool is_repeatable) {
  curl_easy_setopt(handle, CURLOPT_UPLOAD, 1L);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(handle, CURLOPT_READFUNCTION, impl::read_upload);
  curl_easy_setopt(handle, CURLOPT_READDATA, &source);
  curl_easy_setopt(handle, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(source.body->size()));
  // An empty body needs no rewinding, so libcurl could resend it. A request that must not be repeated
  // therefore uses a new connection if its body is empty.
  const bool needs_new_connection = !is_repeatable && source.body->empty();
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, needs_new_connection ? 1L : 0L);
}

}  // namespace zinnia
