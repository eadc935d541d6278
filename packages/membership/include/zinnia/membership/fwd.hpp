// Forward declarations of the membership package.
#pragma once

namespace zinnia {

struct member;
struct member_beat;
class member_table;

}  // namespace zinnia
