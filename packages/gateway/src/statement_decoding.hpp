// Decodes what a backend server says about itself in a response.
#pragma once

#include "zinnia/core/ids.hpp"
#include "zinnia/gateway/header_field_names.hpp"
#include "zinnia/http/message.hpp"
#include "zinnia/routing/backend_statement.hpp"

namespace zinnia {

/// \brief Returns the statements in a response of the backend server `sender`. A malformed statement is
///        logged and left out.
[[nodiscard]] backend_statement decode_statement(const response_head& response,
                                                 const header_field_names& field_names,
                                                 const backend_id& sender);

}  // namespace zinnia
