// Forward declarations of the membership package.
#pragma once

namespace zinnia {

struct member;
struct node_heartbeat;
class member_table;

}  // namespace zinnia
