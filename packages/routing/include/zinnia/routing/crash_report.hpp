// Identifies requests across nodes and callers' retries.
#pragma once

#include <cstdint>

#include "zinnia/core/units.hpp"

namespace zinnia {

/// \brief Hash of a request's contents; the same each time that the request comes.
using request_fingerprint = strong_number<struct request_fingerprint_tag, std::uint64_t>;

}  // namespace zinnia
