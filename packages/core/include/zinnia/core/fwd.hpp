// Forward declarations of the core package, for headers that need no complete types.
#pragma once

namespace zinnia {

template <class Tag>
class strong_id;
template <class T>
class result;
struct error;
class clock_source;
enum class verdict : unsigned char;
enum class reason : unsigned char;

}  // namespace zinnia
