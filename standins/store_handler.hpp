// Serves a fake store over HTTP, for the stand-in program and for contract tests.
#pragma once

#include "standins/fake_store.hpp"
#include "standins/http_server.hpp"

namespace zinnia::standins {

/// \brief Answers one request of the platform's interface; POST /faults sets the faults.
[[nodiscard]] server_answer handle_store(fake_store& store, const server_request& request);

}  // namespace zinnia::standins
