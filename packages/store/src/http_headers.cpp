// Splits header lines; a line without a colon, such as the status line, is left out.
#include "zinnia/store/http_headers.hpp"

#include <algorithm>
#include <cctype>

namespace zinnia {
namespace impl {
namespace {

std::size_t collect_header(char* data, std::size_t size, std::size_t count, void* target) {
  const std::string line{data, size * count};
  const auto colon = line.find(':');
  if (colon != std::string::npos) {
    auto name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    const auto first = line.find_first_not_of(" \t", colon + 1);
    const auto last = line.find_last_not_of(" \t\r\n");
    const bool is_blank = first == std::string::npos || last < first;
    (*static_cast<std::map<std::string, std::string>*>(target))[name] =
        is_blank ? std::string{} : line.substr(first, last - first + 1);
  }
  return size * count;
}

}  // namespace
}  // namespace impl

void collect_headers(CURL* handle, std::map<std::string, std::string>& headers) {
  curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, impl::collect_header);
  curl_easy_setopt(handle, CURLOPT_HEADERDATA, &headers);
}

}  // namespace zinnia
