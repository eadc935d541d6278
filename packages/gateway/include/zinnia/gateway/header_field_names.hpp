// Names of the header fields by which callers, nodes and backend servers understand each other.
#pragma once

#include <string>

namespace zinnia {

/// \brief Field names, so that the gateway knows no deployment's own.
struct header_field_names {
  /// Names one attempt of a caller; echoed in answers.
  std::string request_id{"X-Request-Id"};
  /// Milliseconds that the sender will still wait.
  std::string time_left_ms{"X-Deadline-Ms"};
  /// The object that a request concerns.
  std::string object_key{"X-Object-Key"};
  /// The instance that a request is meant for; any other answers 421.
  std::string expected_backend{"X-Expected-Backend"};
  /// Present in an answer if the request did not run.
  std::string did_not_run{"X-Did-Not-Run"};
  /// Running, waiting and slots of the backend server, separated by commas.
  std::string backend_load{"X-Backend-Load"};
  /// In answers of the health path: the instance that answered.
  std::string backend_id{"X-Backend-Id"};
  /// In answers of the health path: for how many ms the instance stays cold.
  std::string cold_left_ms{"X-Cold-Left-Ms"};
  /// Must be in each successful answer.
  std::string response_stamp{"X-Answer-Stamp"};
};

}  // namespace zinnia
