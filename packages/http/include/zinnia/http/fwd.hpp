// Forward declarations of the http package.
#pragma once

namespace zinnia {

struct header_field;
struct request_head;
struct response_head;
class request_parser;
class response_parser;
class caller_connection;
class caller_exchange;
class http_listener;
class backend_connection;
class backend_call_handler;
struct backend_call_result;

}  // namespace zinnia
