// Forward declarations of the gateway package.
#pragma once

namespace zinnia {

struct header_field_names;
struct gateway_options;
class gateway;
class request_flow;
class peer_forwarding;
struct forwarded_request;

}  // namespace zinnia
