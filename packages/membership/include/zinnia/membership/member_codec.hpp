// Encodes and decodes the registry entries that nodes keep in the store, as JSON documents.
#pragma once

#include <string>

#include "zinnia/core/result.hpp"
#include "zinnia/membership/member_table.hpp"

namespace zinnia {

/// \brief Returns the entry as a JSON document. It omits the id, which is the name of the stored object.
[[nodiscard]] std::string encode_member(const member& entry);

/// \brief   Decodes the entry of the node `name`.
/// \details Fails with `reason::invalid_setting` if the document is not JSON, or if a field is missing or
///          invalid; the message names a missing field. Both capacities are optional and
///          default to the values in `node_capacity`.
[[nodiscard]] result<member> decode_member(const std::string& name, const std::string& document);

}  // namespace zinnia
