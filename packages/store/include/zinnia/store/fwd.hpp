// Forward declarations of the store package.
#pragma once

namespace zinnia {

class store_protocol;
class object_feed;
class async_http_client;
struct http_call;
struct http_response;
struct stored_object;
enum class write_status : unsigned char;

}  // namespace zinnia
