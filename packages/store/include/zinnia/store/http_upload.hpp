// Sending a body by libcurl in a way that libcurl cannot repeat by itself.
#pragma once

#include <curl/curl.h>

#include <cstddef>
#include <string>

namespace zinnia {

/// \brief   The body being sent; must outlive the transfer.
/// \details There is deliberately no way to rewind it: libcurl repeats a request on a fresh connection when a
///          kept one turns out dead, and a body that cannot be rewound makes it fail instead.
struct http_upload {
  const std::string* body{nullptr};
  std::size_t position{0};
};

/// \brief Sets a handle up to send the body by this method.
/// \param may_repeat Whether the request may reach the other side twice.
void set_upload(CURL* handle, const std::string& method, http_upload& source, bool is_repeatable);

}  // namespace zinnia
