// Forward declarations of the store package.
#pragma once

namespace zinnia {

class store_protocol;
class object_feed;
class http_multi;
struct http_call;
struct http_answer;
struct stored_object;
enum class write_status : unsigned char;

}  // namespace zinnia
