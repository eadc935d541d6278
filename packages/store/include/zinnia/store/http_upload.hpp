// Request bodies for libcurl that libcurl cannot send a second time by itself.
#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <string>

namespace zinnia {

/// \brief   A request body and the read position in it; must outlive the transfer.
/// \details It deliberately has no rewind callback: libcurl resends a request on a new connection when a kept
///          one turns out to be closed. With a body that cannot be rewound the call fails instead.
struct http_upload {
  const std::string* body{nullptr};
  std::size_t position{0};
};

/// \brief Configures a handle to send `source` with the given method.
/// \param is_repeatable True if the server may receive the request twice.
void set_upload(CURL* handle, const std::string& method, http_upload& source, bool is_repeatable);

}  // namespace zinnia
