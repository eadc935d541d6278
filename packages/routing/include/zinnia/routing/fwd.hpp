// Forward declarations of the routing package.
#pragma once

namespace zinnia {

struct route;
struct service_declaration;
struct backend_declaration;
struct routing_snapshot;
struct placement_settings;
struct placement_decision;
class route_table;
class backend_state;
class backend_table;
class retry_limiter;
class member_table;
class weighted_split;

}  // namespace zinnia
