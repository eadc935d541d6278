// The read callback and the options of an upload.
#include "zinnia/store/http_upload.hpp"

#include <algorithm>
#include <cstring>

namespace zinnia {
namespace impl {
namespace {

std::size_t read_upload(char* target, std::size_t size, std::size_t count, void* context) {
  auto& source = *static_cast<http_upload*>(context);
  const auto step = std::min(size * count, source.body->size() - source.position);
  std::memcpy(target, source.body->data() + source.position, step);
  source.position += step;
  return step;
}

}  // namespace
}  // namespace impl

void set_upload(CURL* handle, const std::string& method, http_upload& source, bool is_repeatable) {
  curl_easy_setopt(handle, CURLOPT_UPLOAD, 1L);
  curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, method.c_str());
  curl_easy_setopt(handle, CURLOPT_READFUNCTION, impl::read_upload);
  curl_easy_setopt(handle, CURLOPT_READDATA, &source);
  curl_easy_setopt(handle, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(source.body->size()));
  // An empty body can always be "rewound", so such a request never goes out on a kept connection.
  const bool needs_fresh = !is_repeatable && source.body->empty();
  curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, needs_fresh ? 1L : 0L);
}

}  // namespace zinnia
