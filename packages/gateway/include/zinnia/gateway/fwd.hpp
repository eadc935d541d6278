// Forward declarations of the gateway package.
#pragma once

namespace zinnia {

struct wire_dialect;
struct gateway_options;
class gateway;
class request_flow;

}  // namespace zinnia
