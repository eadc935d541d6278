// Entries of nodes in the store, as JSON.
#pragma once

#include <string>

#include "zinnia/core/result.hpp"
#include "zinnia/membership/member_table.hpp"

namespace zinnia {

[[nodiscard]] std::string encode_member(const member& self);

/// \brief Reads an entry; an error names the field.
[[nodiscard]] result<member> decode_member(const std::string& name, const std::string& document);

}  // namespace zinnia
