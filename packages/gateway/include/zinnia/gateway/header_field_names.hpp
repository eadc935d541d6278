// Names of the HTTP header fields that callers, nodes and backend servers exchange.
#pragma once

#include <string>

namespace zinnia {

/// \brief Header field names, passed in so that the gateway does not depend on those of a deployment.
struct header_field_names {
  /// Identifies one attempt of a caller; echoed in responses.
  std::string request_id{"X-Request-Id"};
  /// Milliseconds that the sender will still wait.
  std::string time_left_ms{"X-Deadline-Ms"};
  /// The object that a request concerns.
  std::string object_key{"X-Object-Key"};
  /// The key of the caller's account; never forwarded while accounts are configured.
  std::string account_key{"X-Account-Key"};
  /// Tells backend servers which account a request belongs to.
  std::string account{"X-Account"};
  /// The backend instance that a request is meant for; any other instance responds with 421.
  std::string expected_backend{"X-Expected-Backend"};
  /// Present in a response if the request did not run.
  std::string did_not_run{"X-Did-Not-Run"};
  /// Running requests, waiting requests and slots of the backend server, separated by commas.
  std::string backend_load{"X-Backend-Load"};
  /// Requests per second that the backend server accepts from all nodes together, a decimal number.
  std::string backend_rate_limit{"X-Backend-Rate-Limit"};
  /// Present, with a value other than 0, in the responses of a backend server that is about to stop.
  std::string backend_leaving{"X-Backend-Leaving"};
  /// In health check responses: the instance that responded.
  std::string backend_id{"X-Backend-Id"};
  /// In health check responses: milliseconds for which the instance is still cold.
  std::string cold_left_ms{"X-Cold-Left-Ms"};
  /// Required in each successful response of a backend server.
  std::string response_stamp{"X-Answer-Stamp"};
};

}  // namespace zinnia
