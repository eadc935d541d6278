// Forward declarations of the store package.
#pragma once

namespace zinnia {

class object_store;
class http_object_store;
struct store_reply;
enum class store_status : unsigned char;

}  // namespace zinnia
