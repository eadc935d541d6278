// Response headers from libcurl.
#pragma once

#include <curl/curl.h>

#include <map>
#include <string>

namespace zinnia {

/// \brief Configures a handle to collect the response's header values by lower-case name.
/// \param headers Must outlive the transfer.
void collect_headers(CURL* handle, std::map<std::string, std::string>& headers);

}  // namespace zinnia
