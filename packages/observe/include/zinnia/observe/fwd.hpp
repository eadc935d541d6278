// Forward declarations of the observe package.
#pragma once

namespace zinnia {

class metrics;
class log_line;
enum class counter : unsigned char;
enum class timing : unsigned char;

}  // namespace zinnia
